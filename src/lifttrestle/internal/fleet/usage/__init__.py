"""Usage of workspaces and its caps, over all routers."""
