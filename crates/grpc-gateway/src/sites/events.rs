//! Events of the failover core, raised from the endpoint list, calls, attempts and counter calls.

use crate::base::listed_endpoint::ListedEndpoint;
use crate::counter_client::CounterResult;
use crate::gateway_server::GatewayServer;
use crate::metrics::CallEnd;
use chalkdeck::api::{EndpointId, IncomingRequest, Outcome};
use chalkdeck_site_failover::{
    self as failover, AttemptEvidence, CompletedRequest, EndedAttempt, Event, FinalAnswer,
};
use chalkdeck_time::TimeDelta;

/// An attempt that has ended, as the gateway saw it.
pub(crate) struct AttemptReport {
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) latency: TimeDelta,
    /// The index of the request's class.
    pub(crate) class: usize,
    pub(crate) units: f64,
}

impl GatewayServer {
    /// A new endpoint list is in force.
    pub(crate) fn report_endpoint_list(&mut self, servers: &[ListedEndpoint]) {
        let now = self.now();
        if let Some(sites) = &mut self.sites {
            sites.update_endpoints(now, servers);
        }
        self.apply_site_plan();
    }

    /// A request has arrived. Requests whose callers do the work themselves take no capacity here.
    pub(crate) fn report_request_offered(&mut self, request: &IncomingRequest) {
        let policy = &self.settings.policy;
        let class = &policy.classes[request.class.0];
        if class.is_admission_only {
            return;
        }
        let plan = &policy.plans[request.plan.0];
        let value_per_unit = class.priority_weight * plan.priority_multiplier / request.units;
        self.report_to_sites(Event::RequestOffered {
            value_per_unit,
            units: request.units,
        });
    }

    /// An attempt was sent to an endpoint.
    pub(crate) fn report_attempt_sent(&mut self, endpoint: EndpointId) {
        self.report_to_sites(Event::AttemptSent(failover::EndpointId(endpoint.0)));
    }

    /// An attempt has ended.
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

    /// A request of a class had its final answer after `latency`; one that its client left says nothing about sites.
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

    /// Calls to the counter have ended; the last one tells whether it can be reached.
    pub(crate) fn report_counter_results(&mut self, results: &[CounterResult]) {
        let Some(last) = results.last() else { return };
        let event = match last.outcome {
            Outcome::Ok => Event::CounterAnswered,
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
