//! Messages of the wire as events of the decision engine.

use crate::fields::{Fields, Result};
use crate::instance::Instance;
use crate::settings::zone_id;
use chalkdeck::api::{
    AttemptResult, CellId, ClassId, CounterKey, CustomerId, EndpointEntry, EndpointState, Event,
    IncomingRequest, PlanId, RequestId, TimeDelta, TimerId, Timestamp,
};
use std::collections::HashMap;

/// The most gateways that a customer's requests come through.
const MAX_CUSTOMER_GATEWAYS: f64 = 1e6;

impl Instance {
    /// The event of a message; none for a message that is not known.
    pub(crate) fn event(&mut self, fields: &Fields, now: Timestamp) -> Result<Option<Event>> {
        let event = match fields.message {
            "KNOCK" => Event::RequestArrived(self.incoming_request(fields, now)?),
            "RING" => Event::Timer(TimerId(fields.whole("ref")?)),
            "FIRST_BYTE" => Event::ResponseStarted(RequestId(fields.whole("ref")?)),
            "TIMED_OUT_CLIENT" => Event::ClientDisconnected(RequestId(fields.whole("ref")?)),
            "PONG" => Event::ProbeCompleted {
                endpoint: self.addresses.id(fields.text("backend")?),
                outcome: fields.outcome()?,
                load_report: fields.load_report()?,
            },
            "COUNT_RESULT" => Event::CounterReplied {
                key: CounterKey(fields.whole("book")?),
                outcome: fields.outcome()?,
                total: fields.real_or("result_value", 0.0)?,
            },
            "OUTCOME" => Event::AttemptEnded(self.attempt_result(fields)?),
            _ => return Ok(None),
        };
        Ok(Some(event))
    }

    fn incoming_request(&self, fields: &Fields, now: Timestamp) -> Result<IncomingRequest> {
        let class = known_index(fields, "kind", &self.class_indices, "a known class")?;
        let plan = known_index(fields, "plan", &self.plan_indices, "a known plan")?;
        let Ok(customer) = u64::from_str_radix(fields.text("user_key")?, 16) else {
            return Err(fields.field_error("user_key", "16 hex digits"));
        };
        let units = fields.real_or("price_units", 1.0)?;
        if units < 0.0 {
            return Err(fields.field_error("price_units", "a number of 0 or more"));
        }
        let id = RequestId(fields.whole("ref")?);
        let gateways = fields.real_or("doors", 1.0)?;
        let deadline = fields
            .read("drop_dead", "a clock time")?
            .map(Timestamp::from_micros);
        Ok(IncomingRequest {
            id,
            class: ClassId(class),
            plan: PlanId(plan),
            customer: CustomerId(customer),
            customer_gateways: gateways.clamp(1.0, MAX_CUSTOMER_GATEWAYS) as u32,
            deadline: deadline.unwrap_or_else(|| now + self.classes[class].deadline),
            units,
            is_retry: fields.flag_or("resent", false)?,
        })
    }

    fn attempt_result(&mut self, fields: &Fields) -> Result<AttemptResult> {
        Ok(AttemptResult {
            request: RequestId(fields.whole("ref")?),
            attempt: fields.whole_or("trial", 0)? as usize,
            endpoint: self.addresses.id(fields.text("backend")?),
            outcome: fields.outcome()?,
            elapsed: fields.span_or("took", TimeDelta::ZERO)?,
            is_request_finished: fields.flag_or("ended", false)?,
            settled_units: Some(fields.real_or("settled", 0.0)?).filter(|units| *units > 0.0),
            load_report: fields.load_report()?,
        })
    }

    /// One line of the endpoint list.
    pub(crate) fn endpoint_entry(&mut self, fields: &Fields) -> Result<EndpointEntry> {
        let endpoint = self.addresses.id(fields.text("backend")?);
        let zone = zone_id(&mut self.zones, fields.get("rack_zone").unwrap_or(""));
        let cell = CellId(fields.whole_or("pod", 0)?);
        let state = match fields.text("status")? {
            "in_service" => EndpointState::InService,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => {
                let expected = "in_service, terminating or terminated";
                return Err(fields.field_error("status", expected));
            }
        };
        let weight = fields.real_or("heft", 1.0)?;
        let started_at = Timestamp::from_micros(fields.whole_or("last_start", 0)?);
        Ok(EndpointEntry {
            endpoint,
            zone,
            cell,
            state,
            weight,
            started_at: Some(started_at).filter(|at| *at > Timestamp::ZERO),
        })
    }
}

/// The index of the name that a field holds.
fn known_index(
    fields: &Fields,
    field: &str,
    indices: &HashMap<String, usize>,
    expected: &'static str,
) -> Result<usize> {
    let index = indices.get(fields.text(field)?);
    index
        .copied()
        .ok_or_else(|| fields.field_error(field, expected))
}
