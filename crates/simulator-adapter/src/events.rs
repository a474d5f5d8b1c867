//! Parses the simulator's messages into events of the decision engine.

use crate::fields::{Fields, Result};
use crate::gateway::SimulatedGateway;
use crate::settings::zone_id;
use chalkdeck::api::{
    AttemptResult, CellId, ClassId, CounterKey, CustomerId, EndpointEntry, EndpointState, Event,
    IncomingRequest, PlanId, RequestId, TimeDelta, TimerId, Timestamp,
};
use std::collections::HashMap;

/// Maximum number of gateways over which one customer's requests can be spread.
const MAX_CUSTOMER_GATEWAYS: f64 = 1e6;

impl SimulatedGateway {
    /// Returns the event that a message describes, or `None` for an unknown message.
    pub(crate) fn event(&mut self, fields: &Fields, now: Timestamp) -> Result<Option<Event>> {
        let event = match fields.message_name {
            "KNOCK" => Event::RequestArrived(self.incoming_request(fields, now)?),
            "RING" => Event::Timer(TimerId(fields.required_u64("ref")?)),
            "FIRST_BYTE" => Event::ResponseStarted(RequestId(fields.required_u64("ref")?)),
            "TIMED_OUT_CLIENT" => Event::ClientDisconnected(RequestId(fields.required_u64("ref")?)),
            "PONG" => Event::ProbeCompleted {
                endpoint: self.addresses.register(fields.required_text("backend")?),
                outcome: fields.outcome()?,
                load_report: fields.load_report()?,
            },
            "COUNT_RESULT" => Event::CounterReplied {
                key: CounterKey(fields.required_u64("book")?),
                outcome: fields.outcome()?,
                total: fields.f64_or("result_value", 0.0)?,
            },
            "OUTCOME" => Event::AttemptEnded(self.attempt_result(fields)?),
            _ => return Ok(None),
        };
        Ok(Some(event))
    }

    fn incoming_request(&self, fields: &Fields, now: Timestamp) -> Result<IncomingRequest> {
        let class = index_by_name(fields, "kind", &self.class_indices, "a known class")?;
        let plan = index_by_name(fields, "plan", &self.plan_indices, "a known plan")?;
        let Ok(customer) = u64::from_str_radix(fields.required_text("user_key")?, 16) else {
            return Err(fields.field_error("user_key", "16 hex digits"));
        };
        let units = fields.f64_or("price_units", 1.0)?;
        if units < 0.0 {
            return Err(fields.field_error("price_units", "a number of 0 or more"));
        }
        let id = RequestId(fields.required_u64("ref")?);
        let customer_gateways = fields.f64_or("doors", 1.0)?;
        let deadline = fields
            .parse_optional("drop_dead", "a clock time")?
            .map(Timestamp::from_micros);
        Ok(IncomingRequest {
            id,
            class: ClassId(class),
            plan: PlanId(plan),
            customer: CustomerId(customer),
            customer_gateways: customer_gateways.clamp(1.0, MAX_CUSTOMER_GATEWAYS) as u32,
            deadline: deadline.unwrap_or_else(|| now + self.classes[class].deadline),
            units,
            is_retry: fields.bool_or("resent", false)?,
        })
    }

    fn attempt_result(&mut self, fields: &Fields) -> Result<AttemptResult> {
        Ok(AttemptResult {
            request: RequestId(fields.required_u64("ref")?),
            attempt: fields.u64_or("trial", 0)? as usize,
            endpoint: self.addresses.register(fields.required_text("backend")?),
            outcome: fields.outcome()?,
            elapsed: fields.duration_or("took", TimeDelta::ZERO)?,
            is_request_finished: fields.bool_or("ended", false)?,
            settled_units: Some(fields.f64_or("settled", 0.0)?).filter(|units| *units > 0.0),
            load_report: fields.load_report()?,
        })
    }

    /// Parses one entry of an endpoint list.
    pub(crate) fn endpoint_entry(&mut self, fields: &Fields) -> Result<EndpointEntry> {
        let endpoint = self.addresses.register(fields.required_text("backend")?);
        let zone = zone_id(
            &mut self.zone_numbers,
            fields.get("rack_zone").unwrap_or(""),
        );
        let cell = CellId(fields.u64_or("pod", 0)?);
        let state = match fields.required_text("status")? {
            "in_service" => EndpointState::InService,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => {
                let expected = "in_service, terminating or terminated";
                return Err(fields.field_error("status", expected));
            }
        };
        let weight = fields.f64_or("heft", 1.0)?;
        let started_at = Timestamp::from_micros(fields.u64_or("last_start", 0)?);
        Ok(EndpointEntry {
            endpoint,
            zone,
            cell,
            state,
            weight,
            started_at: Some(started_at).filter(|at| *at > Timestamp::ZERO),
            address: None,
        })
    }
}

/// Looks up the index of the name that a field holds.
fn index_by_name(
    fields: &Fields,
    field: &str,
    indices: &HashMap<String, usize>,
    expected: &'static str,
) -> Result<usize> {
    let index = indices.get(fields.required_text(field)?);
    index
        .copied()
        .ok_or_else(|| fields.field_error(field, expected))
}
