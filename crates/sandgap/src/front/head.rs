//! Reading and checking a head: what the module has to know, and what can't be right.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use rustc_hash::FxHashSet;
use wharfhitch::settings::number_of;
use wharfhitch::{ClassId, Effect, Key, TenantId};

use super::Frontend;
use crate::generation::Generation;
use crate::rules::Taken;

/// The ids of open requests. A second request under one of them could be taken for the first.
pub(super) type OpenIds = Rc<RefCell<FxHashSet<Rc<str>>>>;

/// Holds an id until the request and its attempts have ended.
pub(super) struct OpenId {
    ids: OpenIds,
    id: Rc<str>,
}

impl OpenId {
    pub(super) fn take(ids: &OpenIds, id: &str) -> Option<Self> {
        let id: Rc<str> = id.into();
        ids.borrow_mut().insert(id.clone()).then(|| OpenId { ids: ids.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// What a request's head says.
pub(super) struct Asked {
    pub(super) id: String,
    pub(super) class: ClassId,
    pub(super) effect: Effect,
    pub(super) tenant: Option<TenantId>,
    pub(super) key: Option<Key>,
    pub(super) hint: Option<f64>,
    pub(super) patience: Duration,
    pub(super) generation: Rc<Generation>,
    /// Where rules are agreed: whether it may be taken now, or how long its client should wait.
    pub(super) taken: Option<Result<Taken, Duration>>,
}

impl Frontend {
    /// Reads what the module has to know; what can't be right goes no further.
    pub(super) fn check(
        &self, method: &Method, uri: &Uri, headers: &HeaderMap,
    ) -> Result<Asked, (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let name = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let generation = self.generations.borrow().current().clone();
        let (class, rules) = generation.class(name).ok_or((StatusCode::NOT_FOUND, "no such class"))?;
        let wanted = if rules.effect == Effect::Safe { Method::GET } else { Method::POST };
        if *method != wanted {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
        let known = Known::read(headers)?;
        let keyed = matches!(rules.effect, Effect::Keyed { .. });
        if keyed != known.key.is_some() && *method == Method::POST {
            return Err(bad("Idempotency-Key does not fit the class"));
        }
        let id = known.id.filter(|id| !id.is_empty());
        let id = id.ok_or(bad("X-Request-ID is missing"))?.to_owned();
        let tenant = match known.tenant {
            _ if !generation.has_tenants() => None,
            Some(name) => Some(generation.tenant(name).ok_or(bad("no such tenant"))?),
            None => return Err(bad("X-Tenant-Id is missing")),
        };
        let patience = number(known.timeout)?.ok_or(bad("X-Timeout is missing"))?;
        let patience = Duration::from_secs_f64(patience.min(rules.deadline / 1000.0));
        let query = uri.query().unwrap_or_default();
        let sid = query.split('&').find_map(|p| p.strip_prefix("sid="));
        let hint = number(known.cost)?.map(|us| us / 1000.0);
        let key = sid.map(|s| Key(number_of(s)));
        let taken = self.rules.get().map(|rules| rules.take(name));
        let effect = rules.effect;
        Ok(Asked { id, class, effect, tenant, key, hint, patience, generation: generation.clone(), taken })
    }
}

/// The headers that the protocol gives a meaning, each of which may stand once.
#[derive(Default)]
struct Known<'a> {
    id: Option<&'a str>,
    key: Option<&'a str>,
    tenant: Option<&'a str>,
    timeout: Option<&'a str>,
    cost: Option<&'a str>,
}

impl<'a> Known<'a> {
    /// Finds them in one pass, without hashing a name for each.
    fn read(headers: &'a HeaderMap) -> Result<Self, (StatusCode, &'static str)> {
        let bad = (StatusCode::BAD_REQUEST, "a header is malformed or stands twice");
        let mut known = Known::default();
        for (name, value) in headers {
            let place = match name.as_str() {
                "x-request-id" => &mut known.id,
                "idempotency-key" => &mut known.key,
                "x-tenant-id" => &mut known.tenant,
                "x-timeout" => &mut known.timeout,
                "x-cost" => &mut known.cost,
                _ => continue,
            };
            let value = value.to_str().map_err(|_| bad)?;
            if place.replace(value).is_some() {
                return Err(bad);
            }
        }
        Ok(known)
    }
}

/// A header's number, which can be neither negative nor without end.
fn number(text: Option<&str>) -> Result<Option<f64>, (StatusCode, &'static str)> {
    let Some(text) = text else { return Ok(None) };
    let number = text.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
    number.map(Some).ok_or((StatusCode::BAD_REQUEST, "a header is no number"))
}

/// Path and query alone, as they came, also of a request in absolute form.
pub(super) fn target(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()))
}
