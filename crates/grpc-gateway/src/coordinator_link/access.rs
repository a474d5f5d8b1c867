//! Applies the customers' access rules to calls, RESP commands and open streams.

use super::connection::loop_time;
use crate::base::call_head::{CallHead, InvalidCall};
use crate::calls::Caller;
use crate::gateway_server::GatewayServer;
use chalkdeck::api::RequestId;
use chalkdeck_access::{Call, RegionTable, Verdict};
use chalkdeck_net::grpc::Code;
use chalkdeck_net::{ConnId, Engine};
use http::request;

/// The message of a call that arrives before the gateway has a copy of the shared state, and thus before it knows the rules.
const RULES_UNKNOWN_MESSAGE: &str =
    "this gateway has not heard yet which calls its customers' rules deny";
/// Values of the label `kind` of the metric that counts rejected input.
const KIND_DENIED: &str = "denied";
const KIND_RULES_UNKNOWN: &str = "rules_unknown";

impl GatewayServer {
    /// Checks a call against its customer's rules. Returns the caller of a stream, since a later change of the rules may end it.
    ///
    /// # Errors
    /// The call is denied, or the rules are not known yet.
    pub(crate) fn admit_call(
        &mut self,
        call_head: &mut CallHead,
        head: &request::Parts,
        conn: ConnId,
    ) -> Result<Option<Box<Caller>>, InvalidCall> {
        let GatewayServer {
            coordinator: Some(link),
            settings,
            engine,
            ..
        } = self
        else {
            return Ok(None);
        };
        if !link.agent.has_state() {
            return Err(rules_unknown_error());
        }
        let metadata =
            |name: &http::HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        let customer = metadata(&settings.customer_metadata).unwrap_or("");
        let region_metadata = link.settings.region_metadata.as_ref();
        let caller_region = region_metadata
            .and_then(metadata)
            .or_else(|| region_of(&link.regions, engine, conn))
            .unwrap_or("")
            .to_string();
        if let Some(name) = region_metadata {
            call_head.headers.remove(name);
        }
        let class = call_head.request.class.0;
        let call = Call {
            caller_region: &caller_region,
            gateway_region: &link.settings.region,
            path: head.uri.path(),
            class: &settings.class_names[class],
        };
        let version = metadata(&link.settings.version_metadata);
        let verdict = link
            .agent
            .admit_call(loop_time(engine), customer, &call, version);
        if let Some(reason) = denial_reason(&verdict) {
            return Err(InvalidCall {
                code: Some(Code::PermissionDenied),
                reason,
                kind: KIND_DENIED,
            });
        }
        if !settings.policy.classes[class].is_streaming {
            return Ok(None);
        }
        Ok(Some(Box::new(Caller {
            customer: customer.to_string(),
            region: caller_region,
        })))
    }

    /// Checks a RESP command against its customer's rules, which match it by `path`. Returns the text of the error reply if it
    /// is not admitted.
    pub(crate) fn admit_command(
        &mut self,
        conn: ConnId,
        customer: &str,
        path: &str,
    ) -> Option<String> {
        let GatewayServer {
            coordinator: Some(link),
            settings,
            engine,
            metrics,
            ..
        } = self
        else {
            return None;
        };
        if !link.agent.has_state() {
            let error = rules_unknown_error();
            metrics.input_rejected(error.kind);
            return Some(format!("UNAVAILABLE {}", error.reason));
        }
        let class = settings.resp.as_ref().map_or(0, |resp| resp.class);
        let call = Call {
            caller_region: region_of(&link.regions, engine, conn).unwrap_or(""),
            gateway_region: &link.settings.region,
            path,
            class: &settings.class_names[class],
        };
        let verdict = link
            .agent
            .admit_call(loop_time(engine), customer, &call, None);
        let reason = denial_reason(&verdict)?;
        metrics.input_rejected(KIND_DENIED);
        Some(format!("DENIED {reason}"))
    }

    /// Aborts the streams of these customers, or of all customers, that the rules no longer admit.
    pub(super) fn abort_denied_streams(&mut self, customers: Option<&[String]>) {
        for (id, reason) in self.denied_streams(customers) {
            self.abort_call(id, Code::PermissionDenied, &reason);
        }
    }

    /// The streams that the rules no longer admit, each with the reason.
    fn denied_streams(&self, customers: Option<&[String]>) -> Vec<(RequestId, String)> {
        let Some(link) = &self.coordinator else {
            return Vec::new();
        };
        let now = self.now();
        let mut denied = Vec::new();
        for call in self.calls.iter().filter(|call| !call.is_complete()) {
            let Some(caller) = call.caller.as_deref() else {
                continue;
            };
            if customers.is_some_and(|customers| !customers.contains(&caller.customer)) {
                continue;
            }
            let access_call = Call {
                caller_region: &caller.region,
                gateway_region: &link.settings.region,
                path: call.path.path(),
                class: &self.settings.class_names[call.request.class.0],
            };
            let verdict = link.agent.may_continue(now, &caller.customer, &access_call);
            if let Some(reason) = denial_reason(&verdict) {
                denied.push((call.request.id, reason));
            }
        }
        denied
    }
}

/// The region of the peer address of a connection.
fn region_of<'a>(regions: &'a RegionTable, engine: &Engine, conn: ConnId) -> Option<&'a str> {
    let address = engine.peer_ip(conn)?;
    regions.region_of(address)
}

/// The reason why a call is denied, as its client receives it; `None`: it is admitted.
fn denial_reason(verdict: &Verdict) -> Option<String> {
    match verdict {
        Verdict::Admitted => None,
        Verdict::Denied {
            version,
            is_stale: true,
            ..
        } => Some(format!(
            "denied: this gateway's session has lapsed, and set {version} says DENY then"
        )),
        Verdict::Denied { rule, version, .. } => {
            Some(format!("denied by rule {rule} of set {version}"))
        }
    }
}

/// The error of all calls until the gateway has a copy of the shared state: the rules are unknown, so no call is admitted.
fn rules_unknown_error() -> InvalidCall {
    InvalidCall {
        code: Some(Code::Unavailable),
        reason: RULES_UNKNOWN_MESSAGE.to_string(),
        kind: KIND_RULES_UNKNOWN,
    }
}
