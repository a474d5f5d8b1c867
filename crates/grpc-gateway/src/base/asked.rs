//! A call as its head tells it.

use chalkdeck::api::IncomingRequest;
use chalkdeck_net::grpc::Code;
use http::uri::PathAndQuery;
use http::HeaderMap;

/// A call that can be taken.
pub(crate) struct Asked {
    pub(crate) arrival: IncomingRequest,
    /// The client's own deadline, where it gave one.
    pub(crate) client_deadline: Option<u64>,
    pub(crate) path: PathAndQuery,
    /// Metadata for the server.
    pub(crate) headers: HeaderMap,
    /// Tries that the client made before.
    pub(crate) tries_before: u32,
}

/// Why a call is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Rejected {
    /// The answer; none: HTTP 415.
    pub(crate) code: Option<Code>,
    /// For the client and the log.
    pub(crate) what: String,
    /// For the metrics.
    pub(crate) kind: &'static str,
}
