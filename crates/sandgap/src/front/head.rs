//! Parses and validates request heads.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use wharfhitch::settings::number_of;
use wharfhitch::{ClassId, Effect, Key, TenantId};

use super::Frontend;
use crate::generation::Generation;
use crate::rules::Admission;

/// The validated head of a request.
pub(super) struct ParsedHead {
    pub(super) id: String,
    pub(super) class: ClassId,
    pub(super) effect: Effect,
    pub(super) tenant: Option<TenantId>,
    pub(super) key: Option<Key>,
    pub(super) hint: Option<f64>,
    pub(super) patience: Duration,
    pub(super) generation: Rc<Generation>,
    /// If rules are agreed: whether the request may be accepted now, or how long its client should wait.
    pub(super) acceptance: Option<Result<Admission, Duration>>,
}

impl Frontend {
    /// Parses and validates a head; on failure returns the status and text of the refusal.
    pub(super) fn check(
        &self, method: &Method, uri: &Uri, headers: &HeaderMap,
    ) -> Result<ParsedHead, (StatusCode, &'static str)> {
        let bad_request = |text| (StatusCode::BAD_REQUEST, text);
        let name = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let generation = self.generations.borrow().current().clone();
        let (class, rules) = generation.class(name).ok_or((StatusCode::NOT_FOUND, "no such class"))?;
        let expected_method = if rules.effect == Effect::Safe { Method::GET } else { Method::POST };
        if *method != expected_method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
        let protocol_headers = ProtocolHeaders::read(headers)?;
        let keyed = matches!(rules.effect, Effect::Keyed { .. });
        if keyed != protocol_headers.key.is_some() && *method == Method::POST {
            return Err(bad_request("Idempotency-Key does not fit the class"));
        }
        let id = protocol_headers.id.filter(|id| !id.is_empty());
        let id = id.ok_or(bad_request("X-Request-ID is missing"))?.to_owned();
        let tenant = match protocol_headers.tenant {
            _ if !generation.has_tenants() => None,
            Some(name) => Some(generation.tenant(name).ok_or(bad_request("no such tenant"))?),
            None => return Err(bad_request("X-Tenant-Id is missing")),
        };
        let patience = number(protocol_headers.timeout)?.ok_or(bad_request("X-Timeout is missing"))?;
        let patience = Duration::from_secs_f64(patience.min(rules.deadline / 1000.0));
        let query = uri.query().unwrap_or_default();
        let sid = query.split('&').find_map(|p| p.strip_prefix("sid="));
        let hint = number(protocol_headers.cost)?.map(|us| us / 1000.0);
        let key = sid.map(|s| Key(number_of(s)));
        let acceptance = self.rules.get().map(|rules| rules.admit(name));
        let effect = rules.effect;
        Ok(ParsedHead {
            id,
            class,
            effect,
            tenant,
            key,
            hint,
            patience,
            generation: generation.clone(),
            acceptance,
        })
    }
}

/// The headers defined by the protocol, each of which may occur once.
#[derive(Default)]
struct ProtocolHeaders<'a> {
    id: Option<&'a str>,
    key: Option<&'a str>,
    tenant: Option<&'a str>,
    timeout: Option<&'a str>,
    cost: Option<&'a str>,
}

impl<'a> ProtocolHeaders<'a> {
    /// Collects them in one pass, without a hash lookup per header.
    fn read(headers: &'a HeaderMap) -> Result<Self, (StatusCode, &'static str)> {
        let bad_request = (StatusCode::BAD_REQUEST, "a header is malformed or stands twice");
        let mut protocol_headers = ProtocolHeaders::default();
        for (name, value) in headers {
            let slot = match name.as_str() {
                "x-request-id" => &mut protocol_headers.id,
                "idempotency-key" => &mut protocol_headers.key,
                "x-tenant-id" => &mut protocol_headers.tenant,
                "x-timeout" => &mut protocol_headers.timeout,
                "x-cost" => &mut protocol_headers.cost,
                _ => continue,
            };
            let value = value.to_str().map_err(|_| bad_request)?;
            if slot.replace(value).is_some() {
                return Err(bad_request);
            }
        }
        Ok(protocol_headers)
    }
}

/// Parses a header as a finite, non-negative number.
fn number(text: Option<&str>) -> Result<Option<f64>, (StatusCode, &'static str)> {
    let Some(text) = text else { return Ok(None) };
    let number = text.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
    number.map(Some).ok_or((StatusCode::BAD_REQUEST, "a header is no number"))
}

/// Path and query as received, also for a request target in absolute form.
pub(super) fn target(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()))
}
