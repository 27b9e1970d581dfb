"""HTTP/1.1 client connections and short calls, shared by everything that opens a socket."""
