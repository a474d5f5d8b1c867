//! The states of a site and the transitions between them, as a pure function of what is observed.

/// The state of a site as seen from this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SiteState {
    /// It takes its part of the load.
    #[default]
    Serving,
    /// There was no answer for longer than usual.
    Doubtful,
    /// It does not answer while others do, or the list has none of its endpoints.
    Lost,
    /// It does not answer, nor do most others, while the gateway's own site does: this gateway may be partitioned from them.
    CutOff,
    /// It answers again and its share grows by steps.
    Returning,
    /// An operator keeps it out.
    HeldOut,
}

impl SiteState {
    /// The state's name on the status page and in logs.
    pub fn name(self) -> &'static str {
        match self {
            SiteState::Serving => "serving",
            SiteState::Doubtful => "doubtful",
            SiteState::Lost => "lost",
            SiteState::CutOff => "cut off from here",
            SiteState::Returning => "returning",
            SiteState::HeldOut => "held out",
        }
    }

    /// Whether the site gets no load, apart from a few probes.
    pub fn is_out(self) -> bool {
        matches!(
            self,
            SiteState::Lost | SiteState::CutOff | SiteState::HeldOut
        )
    }
}

/// What is observed of a site at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Observations {
    /// It has been silent for so long, or is unreachable or unlisted, that it counts as lost.
    pub is_silent: bool,
    /// There was no answer for longer than usual.
    pub is_doubtful: bool,
    /// Most other sites are silent, too, while the gateway's own answers.
    pub is_partitioned: bool,
    /// Its hold-out after earlier losses is over.
    pub is_hold_out_over: bool,
    /// It has answered since it entered its present state.
    pub has_answered: bool,
    /// A recovery ramp is under way.
    pub is_ramping: bool,
    /// That ramp has reached the whole capacity, and the site bore it.
    pub is_ramp_complete: bool,
}

/// The state that follows `state`. Only an operator's override leads into and out of [`SiteState::HeldOut`].
pub fn next_state(state: SiteState, seen: Observations) -> SiteState {
    match state {
        SiteState::HeldOut => SiteState::HeldOut,
        _ if state.is_out() && seen.is_silent => state,
        _ if seen.is_silent && seen.is_partitioned => SiteState::CutOff,
        _ if seen.is_silent => SiteState::Lost,
        SiteState::Lost | SiteState::CutOff if seen.is_hold_out_over && seen.has_answered => {
            SiteState::Returning
        }
        SiteState::Lost | SiteState::CutOff => state,
        _ if seen.is_doubtful => SiteState::Doubtful,
        SiteState::Returning if seen.is_ramp_complete => SiteState::Serving,
        SiteState::Returning => SiteState::Returning,
        // A recovery that was in doubt for a moment goes on where it was.
        SiteState::Doubtful if seen.is_ramping => SiteState::Returning,
        SiteState::Doubtful | SiteState::Serving => SiteState::Serving,
    }
}
