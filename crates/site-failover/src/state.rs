//! The states of a site and the transitions between them, as a pure function of what is observed.

/// The state of a site as seen from this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SiteState {
    /// It gets its share of the load.
    #[default]
    Serving,
    /// It has not responded for longer than usual.
    Doubtful,
    /// It does not respond while other sites do, or the list has none of its endpoints in service.
    Lost,
    /// Neither it nor most other sites respond, while the gateway's own site does: this gateway may be partitioned from them.
    CutOff,
    /// It responds again, and its share grows along the recovery ramp.
    Returning,
    /// An operator took it out of service.
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

    /// Whether the site is out of service: it gets no load apart from a few probes.
    pub fn is_out_of_service(self) -> bool {
        matches!(
            self,
            SiteState::Lost | SiteState::CutOff | SiteState::HeldOut
        )
    }
}

/// What this gateway observes of a site at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Observations {
    /// It counts as lost: it has not responded for too long, refuses connections, or has no endpoint in service.
    pub is_unresponsive: bool,
    /// It has not responded for longer than usual.
    pub is_doubtful: bool,
    /// Most other sites do not respond either, while the gateway's own site does.
    pub is_partitioned: bool,
    /// The backoff that its earlier losses led to is over.
    pub is_backoff_over: bool,
    /// It has responded since it entered its current state.
    pub has_responded: bool,
    /// A recovery ramp is in progress.
    pub is_ramping: bool,
    /// The recovery ramp is complete.
    pub is_ramp_complete: bool,
}

/// The state that follows `state`. Only an operator's override enters or leaves [`SiteState::HeldOut`].
pub fn next_state(state: SiteState, observed: Observations) -> SiteState {
    match state {
        SiteState::HeldOut => SiteState::HeldOut,
        _ if state.is_out_of_service() && observed.is_unresponsive => state,
        _ if observed.is_unresponsive && observed.is_partitioned => SiteState::CutOff,
        _ if observed.is_unresponsive => SiteState::Lost,
        SiteState::Lost | SiteState::CutOff
            if observed.is_backoff_over && observed.has_responded =>
        {
            SiteState::Returning
        }
        SiteState::Lost | SiteState::CutOff => state,
        _ if observed.is_doubtful => SiteState::Doubtful,
        SiteState::Returning if observed.is_ramp_complete => SiteState::Serving,
        SiteState::Returning => SiteState::Returning,
        // A recovery that was doubtful for a moment continues with its ramp.
        SiteState::Doubtful if observed.is_ramping => SiteState::Returning,
        SiteState::Doubtful | SiteState::Serving => SiteState::Serving,
    }
}
