//! Prints the hottest names of a running partition.

use anyhow::Context;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests the hottest names from the admin port of a partition and prints them.
pub(super) fn print(admin: SocketAddr) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect_timeout(&admin, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    write!(stream, "GET /top HTTP/1.1\r\nhost: {admin}\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (_, body) = response
        .split_once("\r\n\r\n")
        .context("expected an HTTP response")?;
    print!("{body}");
    Ok(())
}
