"""How daemons know each other and share documents."""
