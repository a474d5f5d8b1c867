//! Kinds of injected faults, their targets and the steps that they consist of.

use crate::common::script::ScriptAction;
use rustix::process::Signal;
use std::fmt;
use std::str::FromStr;

/// The longest that a gateway may take to exit after SIGTERM, in milliseconds: the longest deadline of a class in
/// `days/soak.txtpb` plus a second for a busy machine.
pub(super) const EXIT_TIMEOUT_MS: u32 = 4_000;
/// Time within which the signals of a SIGHUP series are sent, in milliseconds.
const HUP_SERIES_MS: u32 = 100;
/// Time between a signal and the one right before or after it, in milliseconds.
const SIGNAL_GAP_MS: u32 = 10;

/// What a fault affects. Faults of the same target don't overlap in time; those of different targets may.
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
    /// Whether faults of the two targets must not overlap in time.
    pub(super) fn excludes(self, other: Target) -> bool {
        match (self, other) {
            (Target::AllZones, Target::Zone(_)) | (Target::Zone(_), Target::AllZones) => true,
            (one, other) => one == other,
        }
    }
}

/// One step of a fault.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SoakAction {
    /// An action that scripted days have, too.
    Day(ScriptAction),
    /// Sends a signal to a gateway.
    Signal(usize, Signal),
    /// Checks that a gateway has exited after SIGTERM.
    ExpectExit(usize),
    /// Replaces a gateway's settings file with one that can't be parsed.
    BreakSettings(usize),
    /// Restores the settings file.
    RestoreSettings(usize),
    /// Idle clients connect.
    CrowdArrives,
    /// The idle clients disconnect.
    CrowdLeaves,
}

/// An action and its time since the start of the load, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Step {
    pub(super) at_ms: u32,
    pub(super) action: SoakAction,
}

macro_rules! fault_kinds {
    ($($kind:ident $name:literal $doc:literal,)*) => {
        /// A kind of fault. Its name is printed in reports and accepted by `--without`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum FaultKind {
            $(#[doc = $doc] $kind,)*
        }

        impl FaultKind {
            /// All kinds.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$kind,)*];

            /// The name that reports print and `--without` accepts.
            pub fn name(self) -> &'static str {
                match self {
                    $(FaultKind::$kind => $name,)*
                }
            }
        }
    };
}

fault_kinds! {
    Term "term" "SIGTERM, then a restart.",
    TermTwice "term_twice" "SIGTERM twice.",
    TermAtStart "term_at_start" "A killed gateway gets SIGTERM right after its restart.",
    Kill "kill" "SIGKILL, then a restart.",
    HupSeries "hup_series" "SIGHUP several times within 100 ms.",
    HupAroundTerm "hup_around_term" "SIGHUP right before and after SIGTERM.",
    HupBroken "hup_broken" "SIGHUP with settings that cannot be parsed, then with valid ones.",
    Stall "stall" "SIGSTOP, and SIGCONT later.",
    StalledTerm "stalled_term" "SIGTERM while the gateway is stopped.",
    StalledHup "stalled_hup" "SIGHUP while the gateway is stopped.",
    ZoneLoss "zone_loss" "All servers of a zone are killed, and restart in slow start.",
    ZoneCut "zone_cut" "All servers of a zone stop responding.",
    Crash "crash" "Some servers refuse connections and leave the endpoint list, then restart.",
    Drain "drain" "A server drains, then returns to service.",
    Silence "silence" "A server stops responding.",
    Slow "slow" "All servers are slow.",
    FastErrors "fast_errors" "Some servers fail half of the calls of one path at once.",
    CounterDown "counter_down" "The counter stops responding.",
    CounterSlow "counter_slow" "The counter responds late.",
    CounterKill "counter_kill" "The counter is killed and restarted.",
    CounterRefusing "counter_refusing" "The counter refuses calls.",
    Burst "burst" "A customer far exceeds its quota.",
    Reconnect "reconnect" "All clients reconnect.",
    RetryAbuse "retry_abuse" "Clients retry immediately the calls that their class allows them to repeat.",
    Crowd "crowd" "Hundreds of idle clients connect.",
    LinkCut "link_cut" "A zone's links to the other zones transmit nothing.",
    LinkDelay "link_delay" "A zone's links to the other zones are delayed.",
    LinkReset "link_reset" "Connections over a zone's links are reset.",
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// No kind of fault has this name.
#[derive(Debug, thiserror::Error)]
#[error("unknown kind of fault '{0}'; expected one of {names}", names = all_names())]
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

/// A fault in the plan of a soak run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    pub kind: FaultKind,
    pub(super) target: Target,
    /// When it begins, in milliseconds after the start of the load.
    pub at_ms: u32,
    /// When its last step is due, which reverts the fault, in milliseconds after the start of the load.
    pub until_ms: u32,
    pub(super) steps: Vec<Step>,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from_s, until_s) = (f64::from(self.at_ms) / 1e3, f64::from(self.until_ms) / 1e3);
        write!(
            f,
            "{} {:?} {from_s:.2}-{until_s:.2} s",
            self.kind, self.target
        )
    }
}

/// The steps of a fault of a gateway. `downtime_ms`: how long a stopped or killed gateway stays down.
pub(super) fn gateway_steps(
    kind: FaultKind,
    gateway: usize,
    at_ms: u32,
    downtime_ms: u32,
) -> Vec<Step> {
    let step = |after_ms: u32, action: SoakAction| Step {
        at_ms: at_ms + after_ms,
        action,
    };
    let signal =
        |after_ms: u32, signal: Signal| step(after_ms, SoakAction::Signal(gateway, signal));
    let stall = |after_ms: u32, is_stalled: bool| {
        step(
            after_ms,
            SoakAction::Day(ScriptAction::Stall(gateway, is_stalled)),
        )
    };
    let start = |after_ms: u32| {
        step(
            after_ms,
            SoakAction::Day(ScriptAction::StartGateway(gateway)),
        )
    };
    let kill = || step(0, SoakAction::Day(ScriptAction::KillGateway(gateway)));
    // After SIGTERM at `after_ms`, the gateway has to exit and is restarted.
    let exit_and_restart = |after_ms: u32| {
        let exit_ms = after_ms + EXIT_TIMEOUT_MS;
        [
            step(exit_ms, SoakAction::ExpectExit(gateway)),
            start(exit_ms + 1),
        ]
    };
    let with_restart =
        |steps: Vec<Step>, term_ms: u32| [steps, exit_and_restart(term_ms).to_vec()].concat();
    match kind {
        FaultKind::Term => with_restart(vec![signal(0, Signal::TERM)], 0),
        FaultKind::TermTwice => {
            let signals = vec![
                signal(0, Signal::TERM),
                signal(downtime_ms / 2, Signal::TERM),
            ];
            with_restart(signals, 0)
        }
        FaultKind::TermAtStart => {
            let steps = vec![
                kill(),
                start(downtime_ms),
                signal(downtime_ms + 1, Signal::TERM),
            ];
            with_restart(steps, downtime_ms + 1)
        }
        FaultKind::HupSeries => (0..HUP_SERIES_MS)
            .step_by(HUP_SERIES_MS as usize / 5)
            .map(|after_ms| signal(after_ms, Signal::HUP))
            .collect(),
        FaultKind::HupAroundTerm => {
            let steps = vec![
                signal(0, Signal::HUP),
                signal(SIGNAL_GAP_MS, Signal::TERM),
                signal(2 * SIGNAL_GAP_MS, Signal::HUP),
            ];
            with_restart(steps, SIGNAL_GAP_MS)
        }
        FaultKind::HupBroken => vec![
            step(0, SoakAction::BreakSettings(gateway)),
            signal(1, Signal::HUP),
            step(downtime_ms, SoakAction::RestoreSettings(gateway)),
            signal(downtime_ms + 1, Signal::HUP),
        ],
        FaultKind::Stall => vec![stall(0, true), stall(downtime_ms, false)],
        FaultKind::StalledHup => vec![
            stall(0, true),
            signal(downtime_ms / 2, Signal::HUP),
            stall(downtime_ms, false),
        ],
        FaultKind::StalledTerm => {
            let steps = vec![
                stall(0, true),
                signal(downtime_ms / 2, Signal::TERM),
                stall(downtime_ms, false),
            ];
            with_restart(steps, downtime_ms)
        }
        // `Kill`; the kinds that aren't faults of a gateway don't get here.
        _ => vec![kill(), start(downtime_ms)],
    }
}
