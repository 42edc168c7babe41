"""Run the command line as ``python -m radishfield.scripts``."""

from radishfield.scripts import main

main()
