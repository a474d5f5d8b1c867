//! The endpoint list: read when its file changes, and passed to connections, sites and decisions.

use super::{GatewayServer, TimerPurpose};
use crate::endpoints::{self, EndpointListError, Server};
use crate::fault::Fault;
use chalkdeck::api::{EndpointEntry, EndpointState, Event, Outcome, UpdateScope};
use chalkdeck_net::file_watch::FileWatchError;

impl GatewayServer {
    /// Reads the endpoint list if its file has changed. An invalid one leaves the last valid list in force.
    pub(super) fn poll_endpoint_list(&mut self) {
        self.set_timer(self.settings.poll, TimerPurpose::EndpointPoll);
        self.endpoint_connections.close_idle(&mut self.engine);
        let Some(content) = self.endpoint_file.poll() else {
            return;
        };
        match self.parse_endpoint_list(content) {
            Ok(servers) => {
                tracing::info!(endpoints = servers.len(), "endpoint list read");
                self.metrics.endpoints.set(servers.len() as i64);
                self.apply_endpoint_list(servers);
            }
            Err(error) => {
                self.metrics.endpoint_list_failures.inc();
                tracing::error!(
                    file = %self.endpoint_file.path().display(),
                    %error,
                    "endpoint list not readable: keeping the last good one"
                );
            }
        }
        self.run_decisions();
    }

    fn parse_endpoint_list(
        &self,
        content: Result<Vec<u8>, FileWatchError>,
    ) -> Result<Vec<Server>, EndpointListError> {
        let servers = endpoints::parse(self.endpoint_file.path(), &content?)?;
        Ok(servers)
    }

    /// Puts a list in force.
    pub(crate) fn apply_endpoint_list(&mut self, mut servers: Vec<Server>) {
        self.hold_back_endpoints(&mut servers);
        let unsent = self.endpoint_connections.update(&mut self.engine, &servers);
        for attempt in unsent {
            self.end_attempt(attempt, Outcome::ConnectFailed, false);
        }
        self.report_endpoint_list(&servers);
        let mut entries: Vec<EndpointEntry> =
            servers.into_iter().map(|server| server.entry).collect();
        self.inject_list_fault(&mut entries);
        self.decisions.push(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries,
        });
    }

    fn inject_list_fault(&mut self, entries: &mut [EndpointEntry]) {
        for entry in entries {
            if self.fault == Some(Fault::Drains) {
                entry.state = EndpointState::InService;
            }
            if self.fault == Some(Fault::Cold) && entry.started_at.is_some() {
                self.freshest = Some(entry.endpoint);
            }
        }
    }
}
