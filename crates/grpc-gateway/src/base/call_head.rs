//! A call as its head describes it.

use chalkdeck::api::IncomingRequest;
use chalkdeck_net::grpc::Code;
use http::uri::PathAndQuery;
use http::HeaderMap;

/// A call whose head is valid.
pub(crate) struct CallHead {
    pub(crate) request: IncomingRequest,
    /// The client's own deadline by the loop's clock in microseconds, where it gave one.
    pub(crate) client_deadline: Option<u64>,
    pub(crate) path: PathAndQuery,
    /// Metadata for the endpoint.
    pub(crate) headers: HeaderMap,
    /// Attempts that the client has made before.
    pub(crate) previous_attempts: u32,
}

/// Why a call is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct InvalidCall {
    /// The status of the response; `None`: HTTP 415.
    pub(crate) code: Option<Code>,
    /// For the client and the log.
    pub(crate) reason: String,
    /// The label value in metrics.
    pub(crate) kind: &'static str,
}
