//! Errors of service discovery.

use crate::endpoint_list::EndpointListError;
use http::StatusCode;

/// Why an answer of discovery is rejected. The last valid list stays in force.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DiscoveryError {
    /// Not HTTP/1.1.
    #[error("expected an HTTP answer: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::http),
        help("see what listens at the address that `discovery` names in the configuration")
    )]
    Http(#[from] ureq_proto::Error),
    /// No request can be made from the address.
    #[error("cannot ask: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::request),
        help("see the address that `discovery` names in the configuration")
    )]
    Request(#[from] http::Error),
    /// Another status than 200.
    #[error("expected status 200, found {}", .0.as_u16())]
    #[diagnostic(
        code(chalkdeck::discovery::status),
        help("the agent does not give the list: see its log; the gateway goes on by the last good one")
    )]
    Status(StatusCode),
    /// Longer than is read.
    #[error("expected an answer of at most {max} bytes")]
    #[diagnostic(
        code(chalkdeck::discovery::too_long),
        help("see why the list has grown so long")
    )]
    TooLong {
        /// The most bytes that are read.
        max: usize,
    },
    /// Not JSON.
    #[error("expected JSON: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::json),
        help(
            "the agent's answer is spoilt: see its log; the gateway asks for the whole list again"
        )
    )]
    Json(#[from] serde_json::Error),
    /// Not a list of endpoints.
    #[error(transparent)]
    #[diagnostic(transparent)]
    List(#[from] EndpointListError),
    /// An incremental list whose base version this gateway does not hold.
    #[error("changes to version {found}, which is not held")]
    #[diagnostic(
        code(chalkdeck::discovery::version),
        help("the agent was started anew or went back: the whole list is asked for; nothing is to be done unless it goes on")
    )]
    Version {
        /// The version of the list.
        found: u64,
    },
}
