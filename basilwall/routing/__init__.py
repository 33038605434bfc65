"""Where requests may go: the routes in force, the searchers, the choice.

Nothing here opens a connection or knows a wire format.
"""
