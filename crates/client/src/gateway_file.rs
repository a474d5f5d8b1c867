//! Parses files that list gateways: one `ip:port` per line, and `#` starts a comment.

use chalkdeck_net::file_watch::FileWatchError;
use std::net::SocketAddr;
use std::str::Utf8Error;

/// A gateway file cannot be used. The last valid list stays in use.
#[derive(Debug, thiserror::Error)]
pub(crate) enum GatewayFileError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] FileWatchError),
    /// The file is not UTF-8 text.
    #[error("expected UTF-8 text")]
    Text(#[from] Utf8Error),
    /// A line is not an address.
    #[error("line {line}: expected ip:port, found '{found}'")]
    Address {
        /// The number of the line, from 1.
        line: usize,
        /// The text of the line without its comment.
        found: String,
    },
}

/// Parses the content of a gateway file.
pub(crate) fn parse(bytes: &[u8]) -> Result<Vec<SocketAddr>, GatewayFileError> {
    let text = std::str::from_utf8(bytes)?;
    let mut addresses = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let address = line.split('#').next().unwrap_or("").trim();
        if address.is_empty() {
            continue;
        }
        let parsed = address.parse().map_err(|_| GatewayFileError::Address {
            line: index + 1,
            found: address.to_owned(),
        })?;
        addresses.push(parsed);
    }
    Ok(addresses)
}
