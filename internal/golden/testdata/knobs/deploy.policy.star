# The operators' policy of this deployment; `run` in service.toml names it. It is read after
# the defaults that are built in (internal/policy/default.star) and may set any of their knobs.
#
# What is new is switched here, each by itself. Off is how the service was without it.

# Hot teams (docs/hot-teams.md): contended room is divided among teams by fair shares.
fair_shares = True

# Machines are weighed for a task by estimated seconds instead of in fixed steps.
placement_costs = False

# Running tasks are moved off machines that the cloud takes back or that are set aside as slow.
moves = True

# Zone return (docs/zone-return.md): zones have states, and work returns to one in stages.
zone_return = False

# What happens is noted in memory, for `merlinlatch history`.
history = False
