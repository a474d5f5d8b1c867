//! The counter's parts, each with its own link: a name belongs to one of them by its number, and the loss of one part leaves
//! the others. What each part's answers say of its counts is followed here.

use crate::counter::{Counter, CounterResult};
use chalkdeck::api::CounterKey;
use chalkdeck_net::{ConnId, Engine, StreamId};
use chalkdeck_proto::chalkdeck::counter::v1::AddResponse;
use std::net::SocketAddr;

/// What happened to a part's counts between two answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum News {
    /// It was started again and has its counts.
    Recovered,
    /// It has other counts than before: what it was told is gone.
    Emptied,
    /// It has its counts as they were earlier.
    WentBack,
}

/// Follows the answers of one part.
#[derive(Debug, Default)]
pub(crate) struct Standing {
    incarnation: u64,
    epoch: u64,
    position: u64,
}

impl Standing {
    /// An answer came. A part that does not tell, such as one without a log, gives no news.
    pub(crate) fn heard(&mut self, answer: &AddResponse) -> Option<News> {
        if answer.incarnation == 0 {
            return None;
        }
        let before = std::mem::replace(
            self,
            Standing {
                incarnation: answer.incarnation,
                epoch: answer.epoch,
                position: answer.position,
            },
        );
        if before.incarnation == 0 {
            None
        } else if before.incarnation != answer.incarnation {
            Some(News::Emptied)
        } else if answer.position < before.position || answer.epoch < before.epoch {
            Some(News::WentBack)
        } else {
            (answer.epoch > before.epoch).then_some(News::Recovered)
        }
    }
}

/// All parts.
pub(crate) struct Counters {
    parts: Vec<Counter>,
}

impl Counters {
    /// None without addresses.
    pub(crate) fn new(addresses: &[SocketAddr], now: u64) -> Option<Counters> {
        let parts: Vec<Counter> = addresses.iter().map(|a| Counter::new(*a, now)).collect();
        (!parts.is_empty()).then_some(Counters { parts })
    }

    /// The part that a name belongs to.
    pub(crate) fn part_of(&mut self, name: CounterKey) -> &mut Counter {
        let part = (name.0 % self.parts.len() as u64) as usize;
        &mut self.parts[part]
    }
    pub(crate) fn next_timeout(&mut self) -> Option<u64> {
        self.parts
            .iter_mut()
            .filter_map(Counter::next_timeout)
            .min()
    }
    pub(crate) fn timed_out(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        self.parts
            .iter_mut()
            .flat_map(|p| p.timed_out(engine))
            .collect()
    }
    pub(crate) fn connected(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<Vec<CounterResult>> {
        self.parts
            .iter_mut()
            .find_map(|p| p.connected(engine, conn))
    }
    pub(crate) fn closed(&mut self, conn: ConnId) -> Option<Vec<CounterResult>> {
        self.parts.iter_mut().find_map(|p| p.closed(conn))
    }
    /// The part whose stream it is.
    pub(crate) fn of(&mut self, stream: StreamId) -> Option<&mut Counter> {
        self.parts.iter_mut().find(|p| p.owns(stream))
    }
    /// Sends what the turn has asked.
    pub(crate) fn flush(&mut self, engine: &mut Engine) {
        self.parts.iter_mut().for_each(|p| p.flush(engine));
    }
    /// What the parts' answers told since the last look.
    pub(crate) fn news(&mut self) -> Vec<News> {
        self.parts
            .iter_mut()
            .flat_map(|p| p.news.drain(..))
            .collect()
    }
}

#[cfg(test)]
mod tests;
