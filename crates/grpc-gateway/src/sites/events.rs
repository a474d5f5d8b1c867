//! Reports endpoint lists, requests, attempts and counter calls to the failover core as its events.

use crate::base::listed_endpoint::ListedEndpoint;
use crate::counter_client::CounterResult;
use crate::gateway_server::GatewayServer;
use crate::metrics::CallEnd;
use chalkdeck::api::{EndpointId, IncomingRequest, Outcome};
use chalkdeck_site_failover::{
    self as failover, AttemptEvidence, CompletedRequest, EndedAttempt, Event, FinalAnswer,
};
use chalkdeck_time::TimeDelta;

/// An attempt that has ended.
pub(crate) struct AttemptReport {
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) latency: TimeDelta,
    /// The index of the request's class.
    pub(crate) class: usize,
    pub(crate) units: f64,
}

impl GatewayServer {
    /// Reports a new endpoint list.
    pub(crate) fn report_endpoint_list(&mut self, endpoints: &[ListedEndpoint]) {
        let now = self.now();
        if let Some(sites) = &mut self.sites {
            sites.update_endpoints(now, endpoints);
        }
        self.apply_site_plan();
    }

    /// Reports a request that has arrived. Admission-only requests use no capacity of the sites, since their callers do the work.
    pub(crate) fn report_request_offered(&mut self, request: &IncomingRequest) {
        let policy = &self.settings.policy;
        let class = &policy.classes[request.class.0];
        if class.is_admission_only {
            return;
        }
        let plan = &policy.plans[request.plan.0];
        let weight_per_unit = class.priority_weight * plan.priority_multiplier / request.units;
        self.report_to_sites(Event::RequestOffered {
            weight_per_unit,
            units: request.units,
        });
    }

    /// Reports an attempt that was sent to an endpoint.
    pub(crate) fn report_attempt_sent(&mut self, endpoint: EndpointId) {
        self.report_to_sites(Event::AttemptSent(failover::EndpointId(endpoint.0)));
    }

    /// Reports an attempt that has ended.
    pub(crate) fn report_attempt_ended(&mut self, report: &AttemptReport) {
        let ended = EndedAttempt {
            endpoint: failover::EndpointId(report.endpoint.0),
            evidence: evidence_of(report.outcome),
            latency: report.latency,
            objective: self.settings.policy.classes[report.class].latency_objective,
            units: report.units,
        };
        self.report_to_sites(Event::AttemptEnded(ended));
    }

    /// Reports a request that got its final answer after `latency`. One that its client has cancelled says nothing about sites.
    pub(crate) fn report_request_completed(
        &mut self,
        class: usize,
        end: CallEnd,
        latency: TimeDelta,
    ) {
        let answer = match end {
            CallEnd::Cancelled => return,
            CallEnd::Served => FinalAnswer::Served,
            CallEnd::Rejected | CallEnd::Failed => FinalAnswer::Rejected,
        };
        let completed = CompletedRequest {
            answer,
            latency,
            objective: self.settings.policy.classes[class].latency_objective,
        };
        self.report_to_sites(Event::RequestCompleted(completed));
    }

    /// Reports calls to the counter that have ended: the last one shows whether the counter is reachable.
    pub(crate) fn report_counter_results(&mut self, results: &[CounterResult]) {
        let Some(last) = results.last() else { return };
        let event = match last.outcome {
            Outcome::Ok => Event::CounterReplied,
            _ => Event::CounterFailed,
        };
        self.report_to_sites(event);
    }

    fn report_to_sites(&mut self, event: Event) {
        let now = self.now();
        if let Some(sites) = &mut self.sites {
            sites.handle(now, event);
        }
    }
}

fn evidence_of(outcome: Outcome) -> AttemptEvidence {
    match outcome {
        Outcome::Ok | Outcome::Error => AttemptEvidence::Answered,
        Outcome::Rejected => AttemptEvidence::Rejected,
        Outcome::Timeout => AttemptEvidence::TimedOut,
        Outcome::ConnectFailed | Outcome::Reset => AttemptEvidence::Unreachable,
        Outcome::Cancelled | Outcome::NeverSent => AttemptEvidence::Cancelled,
    }
}
