//! Graceful shutdown: accepts no new connections, finishes open calls, and aborts those that outlast the longest deadline.

use super::event_loop::MAX_WAIT_MICROS;
use super::GatewayServer;
use crate::fault::Fault;
use chalkdeck_net::grpc::Code;
use std::io;

/// The longest wait of one turn while the last responses are written.
const FLUSH_WAIT_MICROS: u64 = 1_000;
/// The number of turns after the last stream has ended, which write its remaining bytes to the socket.
const FINAL_TURNS: usize = 3;

impl GatewayServer {
    /// Starts a graceful shutdown: asks clients to open no new calls (GOAWAY), and lets open ones finish.
    pub fn shut_down(&mut self) {
        if self.shutdown_deadline.is_some() {
            return;
        }
        self.shutdown_deadline = Some(self.engine.now() + self.longest_call_deadline());
        self.engine.close_listener(self.listener);
        self.engine.drain(self.listener);
        self.shut_down_resp();
        self.resign_leaderships();
        tracing::info!(
            open = self.calls.open_count,
            "graceful shutdown: rejecting new calls, finishing open ones"
        );
    }

    /// Whether a shutdown is complete: no call is open and no client is connected that could open one, or the longest deadline has
    /// passed. Calls that a client opens before it reads the GOAWAY are accepted and answered.
    pub fn is_shut_down(&self) -> bool {
        if self.fault == Some(Fault::Linger) {
            return false;
        }
        self.shutdown_deadline
            .is_some_and(|deadline| self.engine.now() >= deadline || self.has_no_clients())
    }

    fn has_no_clients(&self) -> bool {
        self.calls.open_count == 0
            && self.engine.listener_connection_count(self.listener) == 0
            && self.has_no_resp_clients()
    }

    /// The longest deadline of a class, in microseconds.
    fn longest_call_deadline(&self) -> u64 {
        let classes = &self.settings.policy.classes;
        classes
            .iter()
            .map(|class| class.deadline.as_micros())
            .max()
            .unwrap_or(0)
    }

    /// Aborts the calls that are still open, which are streams that outlast the deadline, and flushes the sockets.
    pub(super) fn finish_shutdown(&mut self) -> io::Result<()> {
        for id in self.calls.open_ids() {
            self.abort_call(id, Code::Unavailable, "the gateway stops");
        }
        self.execute_actions();
        self.close_coordinator_session();
        let flush_deadline = self.engine.now() + MAX_WAIT_MICROS;
        while self.engine.stream_count() > 0 && self.engine.now() < flush_deadline {
            self.turn(FLUSH_WAIT_MICROS)?;
        }
        for _ in 0..FINAL_TURNS {
            self.turn(FLUSH_WAIT_MICROS)?;
        }
        tracing::info!("stopped");
        Ok(())
    }
}
