"""Exit codes of the command line, as docs/oncall.md lists them."""

OK = 0
FAULTY = 2  # the configuration, a file or the command line is faulty
