//! Client of the discovery agent: long polls over HTTP/1.1. A call without a response in time stays in flight, and the next one begins on
//! another connection; each response counts, however late it is, until a later call has been answered. After an invalid response the last
//! valid list stays in force and the next call requests the complete list.

mod applied_list;
mod call;
mod error;
mod freshness;
mod http_exchange;
mod schedule;
mod timing;

pub use error::DiscoveryError;
pub use freshness::DiscoveryMetrics;
pub(crate) use timing::Timing;

use crate::clock;
use crate::endpoint_list::{self, EndpointList};
use applied_list::{AppliedList, Verdict};
use call::{Call, SentRequest};
use chalkdeck::api::UpdateScope;
use chalkdeck_net::{CloseReason, ConnId, Engine};
use chalkdeck_time::{TimeDelta, Timestamp};
use freshness::ListFreshness;
use http_exchange::{ConnectionReuse, Progress, MAX_RESPONSE_BYTES};
use schedule::{CallSchedule, Room, MAX_CALLS_IN_FLIGHT};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The maximum number of connections to the agent: one for each call in flight, and a spare one.
pub(crate) const MAX_DISCOVERY_CONNECTIONS: usize = MAX_CALLS_IN_FLIGHT + 1;

/// The number of a call. Timers of earlier calls have no effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallId(u64);

/// What the caller of [`Discovery`] has to do.
#[derive(Debug)]
pub(crate) enum DiscoveryAction {
    /// Apply an endpoint update.
    UpdateEndpoints(EndpointList),
    /// The applied list was complete and current at this time.
    ConfirmEndpoints(Timestamp),
    /// Set a timer that calls `Discovery::on_call_timeout` with this call after the delay.
    SetCallTimer {
        /// The delay.
        after: TimeDelta,
        /// The call.
        call: CallId,
    },
}

/// The client of the discovery agent.
pub(crate) struct Discovery {
    address: SocketAddr,
    timing: Timing,
    /// The calls in flight, the oldest first.
    calls: Vec<Call>,
    /// An established connection without a call, which the next call takes.
    spare: Option<ConnId>,
    schedule: CallSchedule,
    /// The maximum length of all responses together that are not complete.
    max_response_bytes: usize,
    /// The version that the next call requests changes of; `None` if the complete list is to be requested.
    held_version: Option<u64>,
    applied: AppliedList,
    current_call: CallId,
    freshness: ListFreshness,
    metrics: DiscoveryMetrics,
}

impl Discovery {
    /// Holds at most `max_response_bytes` of responses that are not complete.
    pub(crate) fn new(address: SocketAddr, timing: Timing, max_response_bytes: usize) -> Discovery {
        Discovery {
            address,
            timing,
            max_response_bytes: max_response_bytes.min(MAX_RESPONSE_BYTES),
            calls: Vec::new(),
            spare: None,
            schedule: CallSchedule::new(timing.timeout),
            held_version: None,
            applied: AppliedList::default(),
            current_call: CallId::default(),
            freshness: ListFreshness::new(timing.max_list_age),
            metrics: DiscoveryMetrics::default(),
        }
    }

    /// Whether this is a connection to the agent.
    pub(crate) fn owns(&self, conn: ConnId) -> bool {
        self.spare == Some(conn) || self.call_on(conn).is_some()
    }

    /// The index of the call on a connection.
    fn call_on(&self, conn: ConnId) -> Option<usize> {
        self.calls.iter().position(|call| call.conn == conn)
    }

    /// The current metrics.
    pub(crate) fn metrics(&self, now: Timestamp) -> DiscoveryMetrics {
        DiscoveryMetrics {
            list_age: self.freshness.confirmed_at().map(|at| now - at),
            calls_in_flight: self.calls.len(),
            ..self.metrics
        }
    }

    /// Logs changes of the list's freshness.
    pub(crate) fn log_changes(&mut self, now: Timestamp) {
        let metrics = self.metrics(now);
        self.freshness.log_changes(now, &metrics);
    }

    /// Begins a call beside those in flight, on a connection of its own.
    pub(crate) fn connect(&mut self, engine: &mut Engine) -> DiscoveryAction {
        if !self.make_room(engine) {
            return self.set_call_timer(self.timing.timeout);
        }
        self.metrics.repeated_calls += u64::from(!self.calls.is_empty());
        let spare = self.spare.take();
        if let Some(conn) = spare.filter(|conn| engine.is_idle(*conn)) {
            return self.begin_call_on(engine, conn);
        }
        self.close_all(engine, spare);
        match engine.connect_plain(self.address) {
            Ok(conn) => {
                let now = clock::now(engine);
                self.calls.push(Call::new(conn, now));
                self.set_call_timer(self.schedule.interval(now))
            }
            Err(_) => self.set_call_timer(self.timing.retry_delay),
        }
    }

    /// Begins a call on an established connection.
    fn begin_call_on(&mut self, engine: &mut Engine, conn: ConnId) -> DiscoveryAction {
        let now = clock::now(engine);
        self.calls.push(Call::new(conn, now));
        match self.send_request(engine, self.calls.len() - 1) {
            Ok(()) => self.set_call_timer(self.schedule.interval(now)),
            Err(error) => {
                self.give_up_invalid(engine, conn, &error);
                self.set_call_timer(self.timing.retry_delay)
            }
        }
    }

    /// Whether another call may begin. One in flight is given up for it if necessary.
    fn make_room(&mut self, engine: &mut Engine) -> bool {
        let begun_at: Vec<Timestamp> = self.calls.iter().map(|call| call.begun_at).collect();
        match self.schedule.room(clock::now(engine), &begun_at) {
            Room::Free => true,
            Room::Replace(index) => {
                let call = self.calls.remove(index);
                engine.close(call.conn);
                true
            }
            Room::Full => false,
        }
    }

    fn close_all(&mut self, engine: &mut Engine, conns: impl IntoIterator<Item = ConnId>) {
        for conn in conns {
            engine.close(conn);
        }
    }

    /// Begins a new call, which invalidates the timers of earlier ones, and sets its timer.
    fn set_call_timer(&mut self, after: TimeDelta) -> DiscoveryAction {
        self.current_call.0 += 1;
        DiscoveryAction::SetCallTimer {
            after,
            call: self.current_call,
        }
    }

    /// Connects to the agent at a new address and requests the complete list there.
    pub(crate) fn set_address(
        &mut self,
        engine: &mut Engine,
        address: SocketAddr,
    ) -> Option<DiscoveryAction> {
        if address == self.address {
            return None;
        }
        let calls = std::mem::take(&mut self.calls);
        let conns = calls.into_iter().map(|call| call.conn);
        let conns: Vec<ConnId> = conns.chain(self.spare.take()).collect();
        self.close_all(engine, conns);
        self.address = address;
        self.held_version = None;
        self.applied.reset();
        self.schedule.reset();
        Some(self.connect(engine))
    }

    /// Handles the time-out of a call: if it is still the current one, begins the next call beside it.
    pub(crate) fn on_call_timeout(
        &mut self,
        engine: &mut Engine,
        call: CallId,
    ) -> Option<DiscoveryAction> {
        (call == self.current_call).then(|| self.connect(engine))
    }

    /// Sends the first request on an established connection.
    pub(crate) fn on_connected(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<DiscoveryAction> {
        let index = self.call_on(conn)?;
        match self.send_request(engine, index) {
            Ok(()) => None,
            Err(error) => self.on_call_failed(engine, conn, &error),
        }
    }

    fn send_request(&mut self, engine: &mut Engine, index: usize) -> Result<(), DiscoveryError> {
        let query = match self.held_version {
            Some(version) => {
                let poll_ms = self.timing.poll.as_millis();
                format!("?since={version}&timeout_ms={poll_ms}")
            }
            None => String::new(),
        };
        let uri = format!("http://{}/v1/endpoints{query}", self.address);
        let call = &mut self.calls[index];
        let request = call.exchange.begin_get(&uri)?;
        engine.write(call.conn, &request);
        call.request = Some(SentRequest {
            sent_at: clock::now(engine),
            since: self.held_version,
        });
        Ok(())
    }

    /// Handles the end of a connection. It completes a response without a stated length if the agent closed the connection in an
    /// orderly way, but not if the connection was reset.
    pub(crate) fn on_closed(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        reason: &CloseReason,
        zones: &mut HashMap<String, u32>,
    ) -> Vec<DiscoveryAction> {
        self.spare = self.spare.filter(|spare| *spare != conn);
        let Some(index) = self.call_on(conn) else {
            return Vec::new();
        };
        let is_close_delimited = self.calls[index].exchange.end();
        if !is_close_delimited || *reason != CloseReason::PeerEnded {
            return self.remove_failed(index).into_iter().collect();
        }
        self.handle_response(engine, index, ConnectionReuse::Close, zones)
    }

    /// Handles received bytes.
    pub(crate) fn on_bytes(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        data: &[u8],
        zones: &mut HashMap<String, u32>,
    ) -> Vec<DiscoveryAction> {
        let Some(index) = self.call_on(conn) else {
            // No response is expected on a spare connection.
            let spare = self.spare.take_if(|spare| *spare == conn);
            self.close_all(engine, spare);
            return Vec::new();
        };
        match self.calls[index].exchange.receive(data) {
            Ok(Progress::Incomplete) => {
                self.limit_partial_responses(engine);
                Vec::new()
            }
            Ok(Progress::Complete(reuse)) => self.handle_response(engine, index, reuse, zones),
            Err(error) => {
                let action = self.on_call_failed(engine, conn, &error);
                action.into_iter().collect()
            }
        }
    }

    /// Gives up the newest partial responses as long as all of them together exceed their maximum length.
    fn limit_partial_responses(&mut self, engine: &mut Engine) {
        let buffered = |call: &Call| call.exchange.buffered_bytes();
        while self.calls.iter().map(buffered).sum::<usize>() > self.max_response_bytes {
            let newest = self.calls.iter().rposition(|call| buffered(call) > 0);
            let Some(index) = newest else {
                return;
            };
            let call = self.calls.remove(index);
            engine.close(call.conn);
        }
    }

    /// Handles a complete response: returns its list as an update and the confirmation of the list, and begins the next call if it is due.
    fn handle_response(
        &mut self,
        engine: &mut Engine,
        index: usize,
        reuse: ConnectionReuse,
        zones: &mut HashMap<String, u32>,
    ) -> Vec<DiscoveryAction> {
        let now = clock::now(engine);
        let conn = self.calls[index].conn;
        let mut actions = match self.apply_response(now, index, zones) {
            Ok(actions) => actions,
            Err(error) => {
                let action = self.on_call_failed(engine, conn, &error);
                return action.into_iter().collect();
            }
        };
        // Calls that began earlier are on silent connections, or their responses can bring nothing new.
        let answered = self.calls.drain(..=index);
        let older: Vec<ConnId> = answered.map(|call| call.conn).take(index).collect();
        self.close_all(engine, older);
        actions.push(self.schedule_next_call(engine, conn, reuse));
        actions
    }

    /// Parses a response and returns what follows from its list.
    fn apply_response(
        &mut self,
        now: Timestamp,
        index: usize,
        zones: &mut HashMap<String, u32>,
    ) -> Result<Vec<DiscoveryAction>, DiscoveryError> {
        let call = &self.calls[index];
        let Some(request) = call.request else {
            return Ok(Vec::new());
        };
        let list = endpoint_list::parse_text(call.exchange.body(), zones)?;
        let verdict = self.applied.judge(request, &list)?;
        self.record_response(now, request);
        if verdict == Verdict::Outdated {
            return Ok(Vec::new());
        }
        self.applied.set(list.version, now);
        // After an invalid response changes still apply, and the complete list is requested nevertheless.
        if list.scope == UpdateScope::Complete || self.held_version.is_some() {
            self.held_version = Some(list.version);
        }
        self.freshness.confirm(request.sent_at);
        Ok(vec![
            DiscoveryAction::UpdateEndpoints(list),
            DiscoveryAction::ConfirmEndpoints(request.sent_at),
        ])
    }

    fn record_response(&mut self, now: Timestamp, request: SentRequest) {
        let response_time = now - request.sent_at;
        self.metrics.last_response_time = response_time;
        self.metrics.late_responses += u64::from(self.schedule.is_late(response_time));
        self.schedule.on_response(now, response_time);
    }

    /// Begins the next call on the connection of the last response, or keeps that connection for it if a call began only recently.
    fn schedule_next_call(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        reuse: ConnectionReuse,
    ) -> DiscoveryAction {
        let now = clock::now(engine);
        let newest = self.calls.last();
        let next_at = newest.map_or(now, |call| call.begun_at + self.schedule.interval(now));
        if reuse == ConnectionReuse::Close {
            engine.close(conn);
        }
        if next_at <= now {
            // The agent is quick again. Another connection could have fallen silent unnoticed.
            let spare = self.spare.take();
            self.close_all(engine, spare);
        }
        match reuse {
            ConnectionReuse::KeepAlive if next_at <= now => self.begin_call_on(engine, conn),
            ConnectionReuse::Close if next_at <= now => self.connect(engine),
            ConnectionReuse::KeepAlive => {
                let previous = self.spare.replace(conn);
                self.close_all(engine, previous);
                self.set_call_timer(next_at - now)
            }
            ConnectionReuse::Close => self.set_call_timer(next_at - now),
        }
    }

    /// Handles the failure of the call on a connection.
    fn on_call_failed(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
        error: &DiscoveryError,
    ) -> Option<DiscoveryAction> {
        let is_newest = self.calls.last().is_some_and(|call| call.conn == conn);
        self.give_up_invalid(engine, conn, error);
        is_newest.then(|| self.set_call_timer(self.timing.retry_delay))
    }

    /// Closes the connection of a call that failed, and requests the complete list next.
    fn give_up_invalid(&mut self, engine: &mut Engine, conn: ConnId, error: &DiscoveryError) {
        tracing::warn!(%error, address = %self.address, "discovery call failed: keeping the last good endpoint list");
        engine.close(conn);
        self.calls.retain(|call| call.conn != conn);
        self.metrics.failed_calls += 1;
        self.held_version = None;
    }

    /// Removes a call whose connection ended. The next one begins after a delay, unless a newer one is in flight.
    fn remove_failed(&mut self, index: usize) -> Option<DiscoveryAction> {
        self.calls.remove(index);
        self.metrics.failed_calls += 1;
        (index == self.calls.len()).then(|| self.set_call_timer(self.timing.retry_delay))
    }
}

#[cfg(test)]
mod applied_list_tests;
#[cfg(test)]
mod late_response_tests;
#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;
