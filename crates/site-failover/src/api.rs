//! What the core is told and what it says. Times are microseconds on one clock that never steps back.

use std::fmt;

/// A site: a zone with its servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u32);

/// What the core must know at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gateway's own site.
    pub own: SiteId,
    /// The gateway's number, and how many there are.
    pub me: u32,
    /// See `me`.
    pub gateways: u32,
    /// The part of its capacity that a server has when it starts.
    pub cold_from: f64,
    /// After this a server is warm.
    pub cold: u64,
    /// A cold server falls over at this many times its present capacity.
    pub fall_multiple: f64,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    /// The server.
    pub server: u64,
    /// Where it stands.
    pub site: SiteId,
    /// It takes new work.
    pub in_service: bool,
    /// Its size against the others.
    pub weight: f64,
    /// When it last started; none: long ago.
    pub started: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// The server answered, well or with an error of its own.
    Answered,
    /// It turned the attempt away unseen.
    Full,
    /// Nothing came within the attempt's time.
    Silent,
    /// No connection was made, or it broke.
    Unreached,
    /// Called off before its time: says nothing.
    CalledOff,
}

/// An operator's word on a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Nothing new goes there; its part goes to the others at once.
    Drain,
    /// The same, said of a site in trouble: it stays out whatever it answers.
    Hold,
    /// It may come back, at the pace of a return.
    LetBack,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The whole list.
    List(&'a [Listed]),
    /// A request came in: its worth for each unit of room, and its units.
    Offered(f64, f64),
    /// An attempt went out.
    Sent(u64),
    /// An attempt ended: server, how, time taken and time that it should have taken at the most, units.
    Ended(u64, How, u64, u64, f64),
    /// At each server the attempts out and the most there may be, as the decisions see them.
    Places(&'a [(u64, f64, f64)]),
    /// A request has its final answer, served or refused: how long its client waited, and was to wait at the most.
    Final(bool, u64, u64),
    /// The counter answered (true) or did not.
    Counter(bool),
    /// An operator spoke.
    Command(SiteId, Command),
}

/// How a site stands, as seen from here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum State {
    /// It takes its part.
    #[default]
    Serving,
    /// Nothing has been heard for longer than usual.
    Doubtful,
    /// It is silent while others answer, or the list has none of its servers.
    Lost,
    /// It is silent, but so are most others, while one's own answers: it may be this gateway that is cut off.
    CutOff,
    /// It answers again and climbs by steps.
    Returning,
    /// An operator keeps it out.
    HeldOut,
}

impl State {
    /// In words, as status and metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Doubtful => "doubtful",
            State::Lost => "lost",
            State::CutOff => "cut off from here",
            State::Returning => "returning",
            State::HeldOut => "held out",
        }
    }
    /// It gets no load but a probe now and then.
    pub fn is_out(self) -> bool {
        matches!(self, State::Lost | State::CutOff | State::HeldOut)
    }
}

/// What a state rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Servers that the list has in service, and how many of them were silent when last asked.
    pub listed: usize,
    /// See `listed`.
    pub silent: usize,
    /// For how long attempts have been out there with nothing heard.
    pub quiet: u64,
    /// Times that it was lost lately.
    pub losses: u32,
    /// Kept out until then after such losses.
    pub held_until: u64,
}

/// One site of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The site.
    pub site: SiteId,
    /// How it stands, and since when.
    pub state: State,
    /// See `state`.
    pub since: u64,
    /// What that rests on.
    pub evidence: Evidence,
    /// Part of the load that it should bear. Over all sites they sum to one.
    pub share: f64,
    /// Units a second that this gateway may send there as learnt; none: no bound was met.
    pub room: Option<f64>,
    /// Part of its room that it is given while it comes back; 1: all.
    pub pace: f64,
    /// Attempts out there and the most there may be, over all its servers.
    pub places: (f64, f64),
}

/// What is let in: requests worth `sure` or more for each unit of room, and a part of those from `from` on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Floor {
    /// Worth this much or more: let in.
    pub sure: f64,
    /// Worth less than this: refused.
    pub from: f64,
    /// Part of those between that is let in.
    pub part: f64,
}

impl Floor {
    /// All are let in.
    pub const NONE: Floor = Floor {
        sure: 0.0,
        from: 0.0,
        part: 1.0,
    };

    /// The part of the requests of that worth for each unit of room that is let in.
    pub fn admits(&self, worth: f64) -> f64 {
        match worth {
            w if w >= self.sure => 1.0,
            w if w >= self.from => self.part,
            _ => 0.0,
        }
    }
}

/// What the core says.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// In the order of their ids.
    pub sites: Vec<View>,
    /// Part of the work offered that is let in.
    pub level: f64,
    /// What of it is let in.
    pub floor: Floor,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.listed, self.silent) {
            (0, _) => write!(f, "the list has none of its servers")?,
            (listed, 0) => write!(f, "{listed} servers listed")?,
            (listed, silent) => write!(f, "{silent} of {listed} servers silent")?,
        }
        if self.quiet > 0 {
            write!(f, ", nothing heard for {:.1} s", self.quiet as f64 / 1e6)?;
        }
        if self.losses > 1 {
            write!(f, ", lost {} times lately", self.losses)?;
        }
        Ok(())
    }
}
