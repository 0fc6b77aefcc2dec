"""Stand-ins for the platform, the replicas and the clients of the cases."""
