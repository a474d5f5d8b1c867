//! The parsed head of a call, or the reason why it is invalid.

use chalkdeck::api::IncomingRequest;
use chalkdeck_net::grpc::Code;
use http::uri::PathAndQuery;
use http::HeaderMap;

/// A call whose head is valid.
pub(crate) struct CallHead {
    pub(crate) request: IncomingRequest,
    /// The deadline that the client set, in microseconds of the loop's clock; `None`: it set none.
    pub(crate) client_deadline: Option<u64>,
    pub(crate) path: PathAndQuery,
    /// Metadata that is forwarded to the endpoint.
    pub(crate) headers: HeaderMap,
    /// Attempts that the client has already made, by its `grpc-previous-rpc-attempts`.
    pub(crate) previous_attempts: u32,
}

/// Why a call is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct InvalidCall {
    /// The gRPC status of the response; `None`: the response is HTTP 415.
    pub(crate) code: Option<Code>,
    /// The message for the client and the log.
    pub(crate) reason: String,
    /// The value of the label `kind` of the metric that counts rejected input.
    pub(crate) kind: &'static str,
}
