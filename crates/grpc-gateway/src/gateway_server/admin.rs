//! The admin port: health, metrics, and the status of sites and the coordinator.

use super::GatewayServer;
use chalkdeck_net::ConnId;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const SERVICE_UNAVAILABLE: u16 = 503;

/// A response of the admin port.
struct AdminResponse {
    /// The HTTP status code.
    status: u16,
    body: String,
}

impl AdminResponse {
    fn new(status: u16, body: impl Into<String>) -> AdminResponse {
        AdminResponse {
            status,
            body: body.into(),
        }
    }
}

impl GatewayServer {
    /// Answers a GET request on the admin port.
    pub(super) fn on_get(&mut self, conn: ConnId, path: &str) {
        let connections = self.engine.connection_count();
        self.metrics.connections.set(connections as i64);
        let response = match path {
            "/healthz" => self.health_response(),
            "/metrics" => AdminResponse::new(OK, self.metrics.text()),
            "/keepers" => self.coordinator_response(),
            path if path.starts_with("/sites") => self.sites_response(path),
            _ => AdminResponse::new(
                NOT_FOUND,
                "expected /healthz, /metrics, /sites or /keepers\n",
            ),
        };
        self.engine.reply(conn, response.status, &response.body);
    }

    fn health_response(&self) -> AdminResponse {
        if self.shutdown_deadline.is_some() {
            return AdminResponse::new(SERVICE_UNAVAILABLE, "stopping\n");
        }
        if !self.has_shared_state() {
            return AdminResponse::new(
                SERVICE_UNAVAILABLE,
                "no keeper was heard yet: it is not known which calls are denied\n",
            );
        }
        AdminResponse::new(OK, "ok\n")
    }

    fn sites_response(&mut self, path: &str) -> AdminResponse {
        match self.answer_site_request(path) {
            Ok(status) => AdminResponse::new(OK, status),
            Err(error) => AdminResponse::new(BAD_REQUEST, format!("{error}\n")),
        }
    }

    fn coordinator_response(&self) -> AdminResponse {
        let status = self
            .coordinator_status()
            .and_then(|status| serde_json::to_string(&status).ok());
        match status {
            Some(status) => AdminResponse::new(OK, status),
            None => AdminResponse::new(BAD_REQUEST, "settings have no keepers\n"),
        }
    }
}
