# The policy parameters and their defaults. The script that --policy names runs after this one
# and may assign any of these parameters. Names that end in _s are in seconds. `economy` is True
# if there are objectives and none asks for work without deadlines to finish within a short fixed
# time. Then work may take until its deadline, and as few machines as possible are rented.

hold_ttl_s = 24        # a controller that gets no answer from the key-value store loses its leaderships after this time
hold_renew_s = 1.5     # interval between renewals of the controller lease
resign_after_s = 5     # a controller that has lost contact with the store for this long resigns if a peer has contact
hold_grace_s = 3       # a free leadership is left to its preferred leader for this long
hand_over_s = 15       # a leadership goes back to its preferred leader once that has been registered for this long
sample = 12            # machines drawn as candidates for a task that is not small
batch = 40             # tasks that one scheduling cycle may place; a quarter of the waiting tasks is added
lease_ttl_s = 12       # a resource lease that is not used for this long expires
progress_every_s = 2   # interval between writes of completed tasks to the key-value store
preempt_after_s = 0.25  # work that found no resources for this long may preempt lower priorities
idle_return_s = 8 if economy else 240  # a machine that has been idle for this long is returned to the cloud
catchup_s = 60         # with economy: spot instances are rented so that waiting work is done within this time
catchup_ordinary_s = 90 # the same for on-demand instances, which are rented once spot instances are refused
spare_share = 0.0 if economy else 0.5   # without economy: CPUs kept free by renting in advance, as a share of the CPUs in use
boot_patience = 3.0    # a machine that is not up after this multiple of its boot time is returned
rental_backoff_s = 5   # a kind of instance (type, zone, spot or on-demand) that the cloud refused is not requested for this long
sick_errors = 2        # a machine is quarantined when tasks of this many jobs have failed on it in a row

# Fair shares: contended resources are divided among teams by weighted max-min fairness.
fair_shares = False
team_weights = {}      # weight by team name; 1 for teams that are not listed
share_fresh_s = 3      # a team's reported demand counts for this long
share_withhold_s = 1   # free resources are withheld for this long from a team above its share

# Placement by costs: a task is placed where it is estimated to start and end soonest, in seconds.
placement_costs = False
data_weight = 1        # weight of the seconds spent on fetching images, relative to all other seconds
even_weight_s = 0      # a fully used machine costs this many seconds more than an empty one
price_weight_s = 0     # a machine of the most expensive type costs this many seconds more than one with the price 0
image_wait_s = 8 if economy else 0   # a task leaves capacity to others for at most this long to get a machine with its image

# Moves of running tasks off machines that the cloud takes back or that are quarantined as slow.
moves = False
move_margin = 1.5      # a move is made if its gain exceeds this multiple of its cost
move_cool_down_s = 120 # a task is not moved again for this long
moves_per_team = 6     # maximum number of moves per minute
moves_per_machine = 8  # maximum number of moves per minute, from and to the machine together

# Zone return: the controllers determine the states of zones, and work returns to a zone in stages.
zone_return = False
zone_suspect_s = 4     # a zone is suspect once most of its machines have sent no heartbeats for this long
zone_lost_s = 12       # a zone is lost once they have sent none for this long; no machines are rented there
zone_back_s = 3        # work returns once half of the machines have sent heartbeats for this long; doubled at each new loss, but never more than 60 s

# History: events are kept in memory for the command `merlinlatch history`.
history = False
