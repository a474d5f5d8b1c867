//! When client connections are closed from this side: eviction, time-outs, shutdown and the end after a protocol error or `QUIT`.

use super::session::Session;
use super::Sessions;
use crate::clock;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_time::Timestamp;

impl Sessions {
    /// Evicts the idle connection whose turn is first, if there is one besides the `new` one.
    pub(super) fn evict_one(&mut self, engine: &mut Engine, new: ConnId, now: Timestamp) {
        if let Some(idle) = self.first_to_evict(engine, new, now) {
            self.by_conn.remove(&idle);
            engine.close(idle);
        }
    }

    /// The next connection to evict: one that is owed no reply and has nothing waiting to be read.
    fn first_to_evict(&self, engine: &mut Engine, new: ConnId, now: Timestamp) -> Option<ConnId> {
        let mut candidates: Vec<_> = self
            .by_conn
            .iter()
            .filter(|(conn, session)| **conn != new && session.replies.pending() == 0)
            .map(|(conn, session)| (session.eviction_rank(now), *conn))
            .collect();
        candidates.sort_unstable();
        candidates
            .into_iter()
            .map(|(_, conn)| conn)
            .find(|conn| engine.is_quiet(*conn))
    }

    /// Ends our direction of a connection that is not read any more, once all its replies are sent.
    pub(super) fn linger_once_answered(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        let is_answered = session.replies.pending() == 0;
        if is_answered && session.is_read_closed && session.lingering_since.is_none() {
            session.lingering_since = Some(clock::now(engine));
            engine.linger(conn);
        }
    }

    /// Closes connections that have timed out and resumes paused ones that have room again. Called at a fixed interval.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) {
        let now = clock::now(engine);
        let mut timed_out = Vec::new();
        let mut paused = Vec::new();
        for (conn, session) in &mut self.by_conn {
            session.note_written(engine.written_bytes(*conn), engine.unsent(*conn), now);
            if session.is_write_timed_out(now)
                || session.is_read_timed_out(now) && engine.is_quiet(*conn)
            {
                timed_out.push(*conn);
            } else if session.is_paused {
                paused.push(*conn);
            }
        }
        timed_out.sort_unstable();
        paused.sort_unstable();
        for conn in timed_out {
            // The loop reports the end of it, and with it the end of its open requests.
            engine.close(conn);
        }
        for conn in paused {
            self.resume(engine, conn);
        }
    }

    /// Begins to close connections, each once it is between two requests.
    pub(crate) fn shut_down(&mut self, now: Timestamp) {
        self.shutdown_since.get_or_insert(now);
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// During a shutdown, closes the idle connections whose turn has come. Requests that were received, or that wait unread, are
    /// answered first.
    pub(crate) fn close_idle(&mut self, engine: &mut Engine) {
        let Some(since) = self.shutdown_since else {
            return;
        };
        let now = clock::now(engine);
        let may_close = |conn: ConnId, session: &Session| {
            session.is_between_requests()
                && !session.is_read_closed
                && session.may_close(conn, since, now)
        };
        let mut idle: Vec<ConnId> = self
            .by_conn
            .iter()
            .filter(|(conn, session)| may_close(**conn, session))
            .map(|(conn, _)| *conn)
            .collect();
        idle.sort_unstable();
        for conn in idle {
            if engine.close_if_quiet(conn) {
                self.by_conn.remove(&conn);
            }
        }
    }
}
