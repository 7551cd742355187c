"""Tools that start and watch the processes of a cell on one machine."""
