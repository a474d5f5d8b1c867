//! Closing of client connections by the gateway: on time-outs, during a shutdown, and after a protocol error or `QUIT`.

use super::session::Session;
use super::Sessions;
use crate::clock;
use chalkdeck_net::{ConnId, Engine};
use chalkdeck_time::Timestamp;

impl Sessions {
    /// Begins the close of a connection that is not read any more, once all its replies are queued. The event loop then waits until the
    /// client has them, within its time limits.
    pub(super) fn linger_once_answered(&mut self, engine: &mut Engine, conn: ConnId) {
        let Some(session) = self.by_conn.get_mut(&conn) else {
            return;
        };
        let is_answered = session.replies.pending() == 0;
        if is_answered && session.is_read_closed && !session.is_lingering {
            session.is_lingering = true;
            engine.start_lingering_close(conn);
        }
    }

    /// Closes connections that have timed out and resumes paused ones that are within their limits again. Called at a fixed interval.
    pub(crate) fn sweep(&mut self, engine: &mut Engine) {
        let now = clock::now(engine);
        let mut timed_out = Vec::new();
        let mut blocked = Vec::new();
        let open = self.by_conn.iter_mut();
        for (conn, session) in open.filter(|(_, session)| !session.is_lingering) {
            session.record_write_progress(
                engine.written_bytes(*conn),
                engine.unsent_bytes(*conn),
                now,
            );
            if session.is_write_timed_out(now)
                || session.is_read_timed_out(now) && engine.is_idle(*conn)
            {
                timed_out.push(*conn);
            } else if session.is_blocked {
                blocked.push(*conn);
            }
        }
        timed_out.sort_unstable();
        blocked.sort_unstable();
        for conn in timed_out {
            // The event loop then reports the connection as closed, which also ends its open requests.
            engine.close(conn);
        }
        for conn in blocked {
            self.queue_to_resume(engine, conn);
        }
    }

    /// Begins a shutdown, during which `close_idle` closes each connection that is between two requests.
    pub(crate) fn shut_down(&mut self, now: Timestamp) {
        self.closing_since.get_or_insert(now);
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.closing_since.is_some()
    }

    /// During a shutdown, closes the idle connections whose delay has passed. Requests that were received, or that wait unread in the
    /// socket, are answered first.
    pub(crate) fn close_idle(&mut self, engine: &mut Engine) {
        let Some(since) = self.closing_since else {
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
            if engine.close_if_idle(conn) {
                self.remove(conn);
            }
        }
    }
}
