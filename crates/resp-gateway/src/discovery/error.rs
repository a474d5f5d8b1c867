//! Errors of service discovery.

use crate::endpoint_list::EndpointListError;
use http::StatusCode;

/// Why a call to the discovery agent fails. The last valid list stays in force.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DiscoveryError {
    /// The response is not valid HTTP/1.1.
    #[error("expected an HTTP answer: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::http),
        help("see what listens at the address that `discovery` names in the configuration")
    )]
    Http(#[from] ureq_proto::Error),
    /// No request can be built for the address.
    #[error("cannot ask: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::request),
        help("see the address that `discovery` names in the configuration")
    )]
    Request(#[from] http::Error),
    /// The status is not 200.
    #[error("expected status 200, found {}", .0.as_u16())]
    #[diagnostic(
        code(chalkdeck::discovery::status),
        help("the agent does not give the list: see its log; the gateway goes on by the last good one")
    )]
    Status(StatusCode),
    /// The response exceeds the maximum length.
    #[error("expected an answer of at most {max} bytes")]
    #[diagnostic(
        code(chalkdeck::discovery::too_long),
        help("see why the list has grown so long")
    )]
    TooLong {
        /// The maximum length in bytes.
        max: usize,
    },
    /// The body is not valid JSON.
    #[error("expected JSON: {0}")]
    #[diagnostic(
        code(chalkdeck::discovery::json),
        help(
            "the agent's answer is spoilt: see its log; the gateway asks for the whole list again"
        )
    )]
    Json(serde_json::Error),
    /// The body is not a valid endpoint list.
    #[error(transparent)]
    #[diagnostic(transparent)]
    List(EndpointListError),
    /// The list is incremental and this gateway does not hold a version that it applies to.
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

impl From<EndpointListError> for DiscoveryError {
    fn from(error: EndpointListError) -> DiscoveryError {
        match error {
            EndpointListError::Shape(error) if !error.is_data() => DiscoveryError::Json(error),
            error => DiscoveryError::List(error),
        }
    }
}
