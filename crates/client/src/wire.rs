//! A call on the wire, and what its end there says.

use crate::core::TryEnd;
use crate::handle::Call;
use chalkdeck_net::file_watch::FileWatchError;
use chalkdeck_net::grpc::{self, Code};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::net::SocketAddr;

pub(crate) fn head(
    call: &Call,
    address: SocketAddr,
    number: u32,
    left: u64,
) -> Option<http::Request<()>> {
    let mut head = grpc::request(&address.to_string(), &call.path)?;
    let headers = head.headers_mut();
    for (name, value) in &call.metadata {
        headers.insert(
            HeaderName::from_bytes(name.as_bytes()).ok()?,
            HeaderValue::from_str(value).ok()?,
        );
    }
    if let Some(key) = &call.key {
        headers.insert(
            HeaderName::from_static(grpc::KEY),
            HeaderValue::from_str(key).ok()?,
        );
    }
    if number > 0 {
        headers.insert(
            HeaderName::from_static(grpc::ATTEMPTS),
            HeaderValue::from(number),
        );
    }
    headers.insert(HeaderName::from_static(grpc::TIMEOUT), grpc::timeout(left));
    Some(head)
}

/// What an answer's end says. A refusal is marked by its pushback; one that cannot be read gives no time.
pub(crate) fn end_of(trailers: &HeaderMap) -> TryEnd {
    let pushback = trailers.get(grpc::PUSHBACK);
    match Code::from_trailers(trailers) {
        Some(Code::ResourceExhausted) if pushback.is_some() => {
            let ms = pushback
                .and_then(|v| v.to_str().ok())
                .and_then(|v| v.parse::<u64>().ok());
            TryEnd::Refused(ms.map(|ms| ms.saturating_mul(1_000)))
        }
        Some(Code::Unavailable) if trailers.get(grpc::UNPROCESSED).is_some_and(|v| v == "1") => {
            TryEnd::NeverRan
        }
        Some(Code::Unavailable | Code::DeadlineExceeded) | None => TryEnd::MayHaveRun,
        Some(_) => TryEnd::Answered,
    }
}

/// Why a file of gateways is not taken over; the last good one stays.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FileError {
    #[error(transparent)]
    Read(#[from] FileWatchError),
    #[error("expected UTF-8 text")]
    Text(#[from] std::str::Utf8Error),
    #[error("line {line}: expected ip:port, found '{found}'")]
    Address { line: usize, found: String },
}

/// The gateways of a file's text. Errors name the line.
pub(crate) fn addresses_of(bytes: &[u8]) -> Result<Vec<SocketAddr>, FileError> {
    let text = std::str::from_utf8(bytes)?;
    let mut addresses = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let wrong = |_| FileError::Address {
            line: i + 1,
            found: line.to_string(),
        };
        addresses.push(line.parse().map_err(wrong)?);
    }
    Ok(addresses)
}
