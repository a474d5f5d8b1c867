//! A caller without a session: operators and tools. One question after another, each to one keeper after another until one
//! answers; a command goes again under its own number, so it counts once.

use crate::serve::{limits, LOOK, MOST_STATE, TELL};
use chalkdeck_net::clock::incarnation;
use chalkdeck_net::grpc::{self, Code};
use chalkdeck_net::unary::Gather;
use chalkdeck_net::{ConnId, Engine, Event, StreamId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use prost::Message;
use std::io;
use std::net::SocketAddr;
use wire::answer::Code as Told;

/// One keeper is given so long, in microseconds, before the next is asked.
const EACH: u64 = 1_500_000;
/// Before all of them are asked anew, in microseconds.
const PAUSE: u64 = 100_000;

/// Why there is no answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum AskError {
    /// No loop.
    #[error("poll: {0}")]
    #[diagnostic(
        code(chalkdeck::keeper::ask_poll),
        help("see the limit of descriptors (ulimit -n)")
    )]
    Poll(io::Error),
    /// Nobody answered a look.
    #[error("no keeper of {keepers} answered within {seconds} s")]
    #[diagnostic(
        code(chalkdeck::keeper::no_answer),
        help("see whether the addresses are those of the keepers, and their /healthz: without a majority nothing is agreed on")
    )]
    NoAnswer {
        /// How many were asked.
        keepers: usize,
        /// For how long.
        seconds: u64,
    },
    /// Nobody answered a command.
    #[error(
        "no keeper of {keepers} answered within {seconds} s: whether the command was taken is not known"
    )]
    #[diagnostic(
        code(chalkdeck::keeper::outcome_unknown),
        help("say the same command again: what was taken before is not harmed by it; see the keepers' /healthz")
    )]
    Unknown {
        /// How many were asked.
        keepers: usize,
        /// For how long.
        seconds: u64,
    },
    /// The command was refused.
    #[error("refused: {why}")]
    #[diagnostic(
        code(chalkdeck::keeper::refused),
        help("nothing was changed; the text says what was expected")
    )]
    Refused {
        /// What the keepers say.
        why: String,
    },
}

/// Asks the keepers.
pub struct Asking {
    engine: Engine,
    keepers: Vec<SocketAddr>,
    caller: u64,
    number: u64,
    /// The keeper that answered last, or is to be asked next.
    place: usize,
    conn: Option<ConnId>,
}

impl Asking {
    /// A caller of its own. Errors: the system gives no poll handle.
    pub fn new(keepers: Vec<SocketAddr>) -> Result<Asking, AskError> {
        let engine = Engine::new().map_err(AskError::Poll)?;
        let caller = incarnation(engine.now());
        let place = fastrand::usize(..keepers.len().max(1));
        Ok(Asking {
            engine,
            keepers,
            caller,
            number: 0,
            place,
            conn: None,
        })
    }

    /// Says a command; `patience` in microseconds. Errors: refused, or its outcome is not known.
    pub fn tell(
        &mut self,
        what: wire::command::What,
        patience: u64,
    ) -> Result<wire::Answer, AskError> {
        self.number += 1;
        let command = wire::Command {
            caller: self.caller,
            number: self.number,
            what: Some(what),
            ..wire::Command::default()
        };
        let until = self.engine.now() + patience;
        while self.engine.now() < until {
            let answer: Option<wire::Answer> = self.ask(TELL, &command, until)?;
            match answer.as_ref().map(wire::Answer::code) {
                Some(Told::Done) => return Ok(answer.unwrap_or_default()),
                None | Some(Told::Elsewhere) => self.next(until)?,
                Some(_) => {
                    return Err(AskError::Refused {
                        why: answer.map(|a| a.why).unwrap_or_default(),
                    })
                }
            }
        }
        Err(AskError::Unknown {
            keepers: self.keepers.len(),
            seconds: patience / 1_000_000,
        })
    }

    /// Looks at what is held. Errors: nobody answered.
    pub fn look(
        &mut self,
        request: &wire::LookRequest,
        patience: u64,
    ) -> Result<wire::LookAnswer, AskError> {
        let until = self.engine.now() + patience;
        while self.engine.now() < until {
            let answer: Option<wire::LookAnswer> = self.ask(LOOK, request, until)?;
            match answer {
                // One that takes no part knows nothing; without a majority the last of them has to do.
                Some(answer) if answer.configuration > 0 => return Ok(answer),
                _ => self.next(until)?,
            }
        }
        Err(AskError::NoAnswer {
            keepers: self.keepers.len(),
            seconds: patience / 1_000_000,
        })
    }

    /// What one keeper says of itself; none: it does not answer in time.
    pub fn look_at(
        &mut self,
        place: usize,
        request: &wire::LookRequest,
        patience: u64,
    ) -> Result<Option<wire::LookAnswer>, AskError> {
        self.hang_up();
        self.place = place;
        let until = self.engine.now() + patience;
        self.ask(LOOK, request, until)
    }

    fn hang_up(&mut self) {
        self.conn
            .take()
            .into_iter()
            .for_each(|c| self.engine.close(c));
    }

    /// Another keeper, after a while.
    fn next(&mut self, until: u64) -> Result<(), AskError> {
        self.hang_up();
        self.place = (self.place + 1) % self.keepers.len();
        let at = (self.engine.now() + PAUSE).min(until);
        let mut events = Vec::new();
        while self.engine.now() < at {
            let left = at.saturating_sub(self.engine.now());
            self.engine
                .turn(left, &mut events)
                .map_err(AskError::Poll)?;
            events.clear();
        }
        Ok(())
    }

    /// One unary call to the keeper whose turn it is; none: it has no answer in time.
    fn ask<A: Message + Default>(
        &mut self,
        path: &str,
        request: &impl Message,
        until: u64,
    ) -> Result<Option<A>, AskError> {
        let until = until.min(self.engine.now() + EACH);
        let address = self.keepers[self.place];
        let fresh = self.conn.is_none();
        if fresh {
            let Ok(conn) = self.engine.connect(address, limits()) else {
                return Ok(None);
            };
            self.conn = Some(conn);
        }
        let Some(conn) = self.conn else {
            return Ok(None);
        };
        let mut stream: Option<StreamId> = None;
        let mut open = |engine: &mut Engine| {
            let head = grpc::request(&address.to_string(), path);
            stream = head.and_then(|head| engine.open(conn, head, false));
            if let Some(stream) = stream {
                engine.send(stream, grpc::frame(&request.encode_to_vec()));
                engine.finish(stream, None);
            }
            stream
        };
        let mut asked = if fresh { None } else { open(&mut self.engine) };
        let (mut gather, mut events) = (Gather::default(), Vec::new());
        while self.engine.now() < until {
            let left = until.saturating_sub(self.engine.now());
            self.engine
                .turn(left, &mut events)
                .map_err(AskError::Poll)?;
            for event in events.drain(..) {
                match event {
                    Event::Connected { conn: c } if c == conn => asked = open(&mut self.engine),
                    Event::Closed { conn: c, .. } if c == conn => {
                        self.conn = None;
                        return Ok(None);
                    }
                    Event::Data { stream, data } if Some(stream) == asked => {
                        self.engine.consume(stream, data.len());
                        if gather.push(&data, MOST_STATE).is_err() {
                            return Ok(None);
                        }
                    }
                    Event::End { stream, trailers } if Some(stream) == asked => {
                        let sound = trailers.as_ref().and_then(Code::read) == Some(Code::Ok);
                        let message = gather.message().filter(|_| sound);
                        return Ok(message.and_then(|m| A::decode(&m[..]).ok()));
                    }
                    Event::Broken { stream, .. }
                    | Event::Head {
                        stream,
                        ended: true,
                        ..
                    } if Some(stream) == asked => {
                        return Ok(None);
                    }
                    _ => {}
                }
            }
        }
        Ok(None)
    }
}
