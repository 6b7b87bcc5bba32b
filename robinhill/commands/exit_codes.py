"""Exit codes of the command line, as docs/oncall.md lists them."""

OK = 0
FAULTY = 2  # a faulty configuration, file or command line
