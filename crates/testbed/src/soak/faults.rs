//! Kinds of faults, what each does and to whom, and the actions that it consists of.

use crate::parts::script::Act;
use rustix::process::Signal;
use std::fmt;
use std::str::FromStr;

/// The longest that a gateway may take to end after SIGTERM, in milliseconds: the longest deadline of a class of
/// `days/soak.txtpb`, and a second for a busy machine.
pub(super) const EXIT_BOUND_MS: u32 = 4_000;
/// Signals of a series come within this time, in milliseconds.
const SERIES_MS: u32 = 100;
/// Signals that come right before or after another one do so by this time, in milliseconds.
const NEAR_MS: u32 = 10;

/// What a fault is done to. Faults of one target do not overlap; those of different ones do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    Gateway(usize),
    Zone(usize),
    AllZones,
    Counter,
    Clients,
    Links,
}

impl Target {
    /// Whether faults of both may not overlap.
    pub(super) fn excludes(self, other: Target) -> bool {
        match (self, other) {
            (Target::AllZones, Target::Zone(_)) | (Target::Zone(_), Target::AllZones) => true,
            (one, other) => one == other,
        }
    }
}

/// One step of a fault.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    /// Something that days do, too.
    Day(Act),
    /// A signal to a gateway.
    Signal(usize, Signal),
    /// A gateway that was asked to end has to have ended by now.
    ExpectExit(usize),
    /// A gateway's settings file becomes unreadable for the parser, and what it was.
    BreakSettings(usize),
    RestoreSettings(usize),
    /// Idle clients connect, and leave.
    CrowdArrives,
    CrowdLeaves,
}

/// An action at its time in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Step {
    pub(super) at_ms: u32,
    pub(super) action: Action,
}

macro_rules! fault_kinds {
    ($($kind:ident $name:literal $doc:literal,)*) => {
        /// A kind of fault, by the name under which it is printed and left out (`--without`).
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum FaultKind {
            $(#[doc = $doc] $kind,)*
        }

        impl FaultKind {
            /// All kinds.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$kind,)*];

            /// Its name.
            pub fn name(self) -> &'static str {
                match self {
                    $(FaultKind::$kind => $name,)*
                }
            }
        }
    };
}

fault_kinds! {
    Term "term" "SIGTERM, and a new start.",
    TermTwice "term_twice" "SIGTERM twice.",
    TermAtStart "term_at_start" "A killed gateway gets SIGTERM as soon as it is back.",
    Kill "kill" "SIGKILL, and a new start.",
    HupSeries "hup_series" "SIGHUP several times within 100 ms.",
    HupAroundTerm "hup_around_term" "SIGHUP right before and after SIGTERM.",
    HupBroken "hup_broken" "SIGHUP with settings that cannot be parsed, then with good ones.",
    Stall "stall" "SIGSTOP, and SIGCONT later.",
    StalledTerm "stalled_term" "SIGTERM while it is stopped.",
    StalledHup "stalled_hup" "SIGHUP while it is stopped.",
    ZoneLoss "zone_loss" "All servers of a zone are killed, and come back cold.",
    ZoneCut "zone_cut" "All servers of a zone fall silent.",
    Crash "crash" "A server refuses connections, leaves the list, and is back.",
    Drain "drain" "A server drains and is back.",
    Silence "silence" "A server falls silent.",
    Slow "slow" "All servers are slow.",
    FastErrors "fast_errors" "Some servers fail half of the calls of one path at once.",
    CounterDown "counter_down" "The counter falls silent.",
    CounterSlow "counter_slow" "The counter answers late.",
    CounterKill "counter_kill" "The counter is killed and started again.",
    CounterRefusing "counter_refusing" "The counter refuses calls.",
    Burst "burst" "A customer is far beyond its quota.",
    Reconnect "reconnect" "All clients reconnect.",
    RetryAbuse "retry_abuse" "Clients retry at once what their class lets them repeat.",
    Crowd "crowd" "Idle clients come in hundreds.",
    LinkCut "link_cut" "A zone's links to the others carry nothing.",
    LinkDelay "link_delay" "A zone's links to the others are slow.",
    LinkReset "link_reset" "Connections over a zone's links are reset.",
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// No kind of fault has the name.
#[derive(Debug, thiserror::Error)]
#[error("'{0}' is no kind of fault; expected one of {names}", names = all_names())]
pub struct UnknownFault(String);

fn all_names() -> String {
    let names: Vec<&str> = FaultKind::ALL.iter().map(|kind| kind.name()).collect();
    names.join(", ")
}

impl FromStr for FaultKind {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<FaultKind, UnknownFault> {
        let mut kinds = FaultKind::ALL.iter().copied();
        kinds
            .find(|kind| kind.name() == text)
            .ok_or_else(|| UnknownFault(text.to_string()))
    }
}

/// A fault of one play.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawnFault {
    /// Its kind.
    pub kind: FaultKind,
    pub(super) target: Target,
    /// When it begins, in milliseconds.
    pub at_ms: u32,
    /// When all is set right again, in milliseconds.
    pub until_ms: u32,
    pub(super) steps: Vec<Step>,
}

impl fmt::Display for DrawnFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (f64::from(self.at_ms) / 1e3, f64::from(self.until_ms) / 1e3);
        write!(f, "{} {:?} {from:.2}-{until:.2} s", self.kind, self.target)
    }
}

/// The steps of a fault of a gateway. `pause_ms`: how long what is stopped or dead stays so.
pub(super) fn gateway_steps(
    kind: FaultKind,
    gateway: usize,
    at_ms: u32,
    pause_ms: u32,
) -> Vec<Step> {
    let step = |after_ms: u32, action: Action| Step {
        at_ms: at_ms + after_ms,
        action,
    };
    let signal = |after_ms: u32, signal: Signal| step(after_ms, Action::Signal(gateway, signal));
    let stall =
        |after_ms: u32, stalled: bool| step(after_ms, Action::Day(Act::Stall(gateway, stalled)));
    let start = |after_ms: u32| step(after_ms, Action::Day(Act::StartGateway(gateway)));
    let kill = || step(0, Action::Day(Act::KillGateway(gateway)));
    // SIGTERM was sent: it ends, and is started again.
    let ends = |after_ms: u32| {
        let exit_ms = after_ms + EXIT_BOUND_MS;
        [
            step(exit_ms, Action::ExpectExit(gateway)),
            start(exit_ms + 1),
        ]
    };
    let with_end = |steps: Vec<Step>, term_ms: u32| [steps, ends(term_ms).to_vec()].concat();
    match kind {
        FaultKind::Term => with_end(vec![signal(0, Signal::TERM)], 0),
        FaultKind::TermTwice => {
            let terms = vec![signal(0, Signal::TERM), signal(pause_ms / 2, Signal::TERM)];
            with_end(terms, 0)
        }
        FaultKind::TermAtStart => {
            let steps = vec![kill(), start(pause_ms), signal(pause_ms + 1, Signal::TERM)];
            with_end(steps, pause_ms + 1)
        }
        FaultKind::HupSeries => (0..SERIES_MS)
            .step_by(SERIES_MS as usize / 5)
            .map(|after_ms| signal(after_ms, Signal::HUP))
            .collect(),
        FaultKind::HupAroundTerm => {
            let steps = vec![
                signal(0, Signal::HUP),
                signal(NEAR_MS, Signal::TERM),
                signal(2 * NEAR_MS, Signal::HUP),
            ];
            with_end(steps, NEAR_MS)
        }
        FaultKind::HupBroken => vec![
            step(0, Action::BreakSettings(gateway)),
            signal(1, Signal::HUP),
            step(pause_ms, Action::RestoreSettings(gateway)),
            signal(pause_ms + 1, Signal::HUP),
        ],
        FaultKind::Stall => vec![stall(0, true), stall(pause_ms, false)],
        FaultKind::StalledHup => vec![
            stall(0, true),
            signal(pause_ms / 2, Signal::HUP),
            stall(pause_ms, false),
        ],
        FaultKind::StalledTerm => {
            let steps = vec![
                stall(0, true),
                signal(pause_ms / 2, Signal::TERM),
                stall(pause_ms, false),
            ];
            with_end(steps, pause_ms)
        }
        // A kill, and what is no fault of a gateway.
        _ => vec![kill(), start(pause_ms)],
    }
}
