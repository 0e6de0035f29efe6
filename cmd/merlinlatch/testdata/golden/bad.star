unknown = 1
