//! Handles requests from the client's command to the final reply.

use super::{GatewayServer, OpenRequest};
use crate::client_replies;
use crate::clock;
use crate::request::{self, RequestError};
use crate::sessions::ReceivedCommand;
use chalkdeck::api::{Event, RequestId};
use chalkdeck_net::ConnId;
use chalkdeck_resp::Frame;

impl GatewayServer {
    /// Handles at most `max_commands` of the commands that a connection has received, until flow control blocks it. The others follow in its
    /// next turn, so that many commands at once do not delay those of other clients.
    pub(super) fn handle_commands(&mut self, conn: ConnId, max_commands: usize) {
        let max_commands = max_commands.min(self.commands_left_in_turn);
        let mut handled = 0;
        while handled < max_commands {
            let Some(command) = self.sessions.next_command(&mut self.engine, conn) else {
                break;
            };
            let slot = command.slot;
            if let Some(reply) = self.on_command(conn, command) {
                self.sessions.reply(conn, slot, reply);
            }
            handled += 1;
        }
        self.commands_left_in_turn -= handled;
        if handled == max_commands {
            self.sessions.continue_in_next_turn(&mut self.engine, conn);
        }
        self.sessions.flush(&mut self.engine, conn);
    }

    /// Handles a command. Returns its reply, or `None` for a request, whose reply follows later.
    fn on_command(&mut self, conn: ConnId, command: ReceivedCommand) -> Option<Frame> {
        match &command.words[0].to_ascii_uppercase()[..] {
            b"PING" => Some(client_replies::pong()),
            b"CLIENT" | b"SELECT" => Some(client_replies::ok()),
            b"QUIT" => {
                self.sessions.close_reading(conn);
                Some(client_replies::ok())
            }
            _ if command.is_overdue || self.rejects_queued_commands() => {
                Some(client_replies::busy(None))
            }
            _ => match self.open_request(conn, command) {
                Ok(()) => None,
                Err(error) => Some(client_replies::error(&error.to_string())),
            },
        }
    }

    /// Whether commands are rejected at once so that all that wait have their replies before the platform kills the process.
    fn rejects_queued_commands(&self) -> bool {
        self.sessions.connections_to_resume() > 0 && self.is_kill_near()
    }

    fn open_request(&mut self, conn: ConnId, command: ReceivedCommand) -> Result<(), RequestError> {
        let id = RequestId(self.last_request.0 + 1);
        let command_bytes = command.words.iter().map(|word| word.len()).sum();
        let names = &self.config.named_settings;
        let mut parsed = request::parse(command.words, id, command.received_at, names)?;
        let latest_deadline = self.latest_deadline();
        parsed.request.deadline = parsed.request.deadline.min(latest_deadline);
        let client_id = parsed.command.id().clone();
        let now = clock::now(&self.engine);
        let is_in_use = self.requests_by_client_id.contains_key(&client_id)
            || self.abandoned_ids.contains(now, &client_id);
        if is_in_use {
            return Err(RequestError::DuplicateId);
        }
        self.last_request = id;
        self.requests_by_client_id.insert(client_id, id);
        let memory_bytes =
            self.sessions
                .on_request_opened(&mut self.engine, conn, id, command_bytes);
        let open = OpenRequest {
            conn,
            slot: command.slot,
            command: parsed.command,
            memory_bytes,
            attempt_count: 0,
        };
        self.requests.insert(id, open);
        self.decisions.push(Event::RequestArrived(parsed.request));
        Ok(())
    }

    /// Closes the open requests of a client whose connection has ended, and reports them to the decision engine.
    pub(super) fn on_client_closed(&mut self, conn: ConnId) {
        let now = clock::now(&self.engine);
        for id in self.sessions.on_closed(conn) {
            let request = self.close_request(id);
            if let Some(request) = request.filter(OpenRequest::may_have_effect) {
                self.abandoned_ids.insert(now, request.command.id());
            }
            self.decisions.push(Event::ClientDisconnected(id));
        }
    }

    /// Ends a request whose client has left, or may have, instead of beginning an attempt. It is answered in case that the client has not left.
    /// All requests of a client that has surely left are ended.
    pub(super) fn end_unattended_request(&mut self, conn: ConnId, id: RequestId) {
        if self.engine.has_peer_ended(conn) {
            self.engine.close(conn);
            return self.on_client_closed(conn);
        }
        let request = self.requests.get(&id);
        let reply = if request.is_some_and(OpenRequest::may_have_effect) {
            client_replies::error("the client may have left")
        } else {
            client_replies::busy(None)
        };
        self.reply(id, reply);
        self.decisions.push(Event::ClientDisconnected(id));
    }

    fn close_request(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(&id)?;
        self.requests_by_client_id.remove(request.command.id());
        self.sessions
            .on_request_ended(request.conn, id, request.memory_bytes);
        Some(request)
    }

    /// Sends the final reply to a request and closes it. Returns whether it was open.
    pub(super) fn reply(&mut self, id: RequestId, reply: Frame) -> bool {
        let Some(request) = self.close_request(id) else {
            return false;
        };
        self.sessions.reply(request.conn, request.slot, reply);
        self.sessions.flush(&mut self.engine, request.conn);
        true
    }
}
