"""Library for starting and monitoring the processes of a cell on one machine."""
