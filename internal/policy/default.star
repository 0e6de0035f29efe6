# The operators' parameters, with their defaults. A script given with --policy is run
# with the same names at hand and may set any of them. `economy` is true when no
# objective asks for work without deadlines to be finished within a short fixed
# time: then it need be no earlier than its deadline, and machines are rented with thrift.

hold_ttl_s = 24        # how long a controller acts without an answer of the key-value store
hold_renew_s = 1.5     # how often it renews its lease
resign_after_s = 5     # cut off for so long while a peer is not: it resigns
hold_grace_s = 3       # free leaderships wait so long for their preferred leader
hand_over_s = 15       # leaderships are transferred to their preferred leader when it has been back so long
sample = 12            # machines drawn for each placement
batch = 40             # tasks placed in one batch when little waits
lease_ttl_s = 12       # an unused resource lease expires
progress_every_s = 2   # completed tasks are recorded so often
preempt_after_s = 0.25  # work waits so long before it preempts lower priorities
idle_return_s = 8 if economy else 240
catchup_s = 60         # with economy: spot machines are rented so that what waits is done in so long
catchup_ordinary_s = 90 # the same for ordinary machines, once spot ones are refused
spare_share = 0.0 if economy else 0.5   # room rented ahead, as a share of what is in use
boot_patience = 3.0    # a machine not up after so many times its boot time is given back
rental_backoff_s = 5   # a kind of machine that was refused is not requested for so long
sick_errors = 2        # jobs that fail in a row on a machine before it is quarantined

# Hot teams: contended resources are divided among teams by weighted max-min fairness.
fair_shares = False
team_weights = {}      # by team; 1 where none is given
share_fresh_s = 3      # a team's demand counts for so long
share_withhold_s = 1   # free resources are withheld so long from a team above its share

# Placement by costs: where a task starts and ends soonest, in estimated seconds.
placement_costs = False
data_weight = 1        # of seconds spent on images against all else
even_weight_s = 0      # seconds that a full machine costs more than an empty one
price_weight_s = 0     # seconds that the dearest machine costs more than one for nothing
image_wait_s = 8 if economy else 0   # room is left so long for a machine that has the image

# Moves of running tasks off machines that are taken back or quarantined as slow.
moves = False
move_margin = 1.5      # the gain must be so many times the cost
move_cool_down_s = 120 # a task is not moved again so soon
moves_per_team = 6     # in a minute
moves_per_machine = 8  # in a minute, from it and to it

# Zone return: what a zone's state is, and work that comes back to it in stages.
zone_return = False
zone_suspect_s = 4     # most of a zone's machines send no heartbeats for so long: it is suspect
zone_lost_s = 12       # and lost: no machines are rented there
zone_back_s = 3        # half send heartbeats again for so long: work returns; doubled each time it is lost again

# What happens is kept in memory, for `merlinlatch history`.
history = False
