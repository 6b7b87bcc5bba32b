"""The watch on discovery's endpoint list, and the detection of messages left unread by a stalled process."""
