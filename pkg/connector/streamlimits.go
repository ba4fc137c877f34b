package connector

// streamWindow is the flow-control window of each stream and connection, in bytes. With gRPC's
// dynamic window nearly every message of a slow stream costs a ping and its answer, which took a
// fifth of a lead's processor time. One MiB carries 100 MB/s over a round trip of 10 ms, and it
// bounds how much memory a peer can make this host use.
const streamWindow = 1 << 20

// connectionBuffer is the size of a connection's read and write buffers, in bytes. Hosts keep two
// connections to every other host. With the library's default of 32 KiB for each buffer, hosts
// that all start at once spend half of their processor time on clearing memory while callers wait.
const connectionBuffer = 4 << 10
