//! Reads the endpoint list when its file changes and passes it to the connections, the sites and the decision engine.

use super::{GatewayServer, TimerPurpose};
use crate::endpoints::{self, EndpointListError, ListedEndpoint};
use crate::fault::Fault;
use chalkdeck::api::{EndpointEntry, EndpointState, Event, Outcome, UpdateScope};
use chalkdeck_net::file_watch::FileWatchError;

const MICROS_PER_SECOND: u64 = 1_000_000;

impl GatewayServer {
    /// Reads the endpoint list if its file has changed. If it is invalid, the last valid list stays in use.
    pub(super) fn poll_endpoint_list(&mut self) {
        self.set_timer(
            self.settings.endpoint_poll_interval,
            TimerPurpose::EndpointPoll,
        );
        self.endpoint_connections.close_idle(&mut self.engine);
        let Some(content) = self.endpoint_list_watch.poll() else {
            return;
        };
        match self.parse_endpoint_list(content) {
            Ok(listed) => {
                tracing::info!(endpoints = listed.len(), "endpoint list read");
                self.metrics.endpoints.set(listed.len() as i64);
                let read_at = self.engine.now() / MICROS_PER_SECOND;
                self.metrics.endpoint_list_read_at.set(read_at as i64);
                self.apply_endpoint_list(listed);
            }
            Err(error) => {
                self.metrics.endpoint_list_failures.inc();
                tracing::error!(
                    file = %self.endpoint_list_watch.path().display(),
                    %error,
                    "endpoint list not readable: keeping the last good one"
                );
            }
        }
        self.execute_actions();
    }

    fn parse_endpoint_list(
        &self,
        content: Result<Vec<u8>, FileWatchError>,
    ) -> Result<Vec<ListedEndpoint>, EndpointListError> {
        let listed = endpoints::parse(self.endpoint_list_watch.path(), &content?)?;
        Ok(listed)
    }

    /// Applies an endpoint list.
    pub(crate) fn apply_endpoint_list(&mut self, mut listed: Vec<ListedEndpoint>) {
        self.hold_back_endpoints(&mut listed);
        let waiting = self.endpoint_connections.update(&mut self.engine, &listed);
        for attempt in waiting {
            self.end_attempt(attempt, Outcome::ConnectFailed, false);
        }
        self.report_endpoint_list(&listed);
        let mut entries: Vec<EndpointEntry> =
            listed.into_iter().map(|endpoint| endpoint.entry).collect();
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
                self.newest_endpoint = Some(entry.endpoint);
            }
        }
    }
}
