//! A call to the discovery agent that waits for its response, on a connection of its own.

use super::http_exchange::HttpExchange;
use chalkdeck_net::ConnId;
use chalkdeck_time::Timestamp;

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub(super) sent_at: Timestamp,
    /// The version that changes were requested for; `None` if the complete list was requested.
    pub(super) since: Option<u64>,
}

/// A call in flight.
pub(super) struct Call {
    pub(super) conn: ConnId,
    /// When the call began, which includes the time to establish its connection.
    pub(super) begun_at: Timestamp,
    /// `None` while the connection is being established.
    pub(super) request: Option<SentRequest>,
    pub(super) exchange: HttpExchange,
}

impl Call {
    pub(super) fn new(conn: ConnId, begun_at: Timestamp) -> Call {
        Call {
            conn,
            begun_at,
            request: None,
            exchange: HttpExchange::default(),
        }
    }
}
