//! A call's final answer becomes one signed callback to its tenant's portal.
//!
//! Whether a callback may be sent again is the module's own rule for the call's class.

use std::rc::Rc;

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::json;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use super::inbound::Job;
use super::signature;
use crate::api::{Effect, Micros};
use crate::brain::{allowed, never_ran};
use crate::core::Answer;
use crate::ending::{Ending, Left};
use crate::tenants::Tenant;

/// A payload larger than this is not passed on: callbacks wait in memory.
const LONGEST_PAYLOAD: usize = 64 * 1024;
/// The first pause before a callback is sent again; it doubles up to the last.
const FIRST_PAUSE: Micros = 250_000;
const LAST_PAUSE: Micros = 8_000_000;

/// What becomes of a callback after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The portal confirmed it.
    Delivered,
    /// It is sent again at this time.
    Again(Micros),
    /// Given up, and no portal can have seen it.
    Undelivered,
    /// Given up; a portal may have seen it.
    Unknown,
}

/// A callback that is not at its end.
#[derive(Clone, Debug)]
pub struct Callback {
    /// The tenant's name.
    pub tenant: String,
    /// Which of that name.
    pub serial: u64,
    /// Its own identity, the same with every attempt.
    pub id: String,
    /// When it is given up.
    pub expires: Micros,
    effect: Effect,
    body: Rc<[u8]>,
    tries: u32,
    sent: Micros,
    ran: Option<Micros>,
}

/// Unix microseconds as RFC 3339 has them, to the second; empty for a year past 9999.
pub fn timestamp(at: Micros) -> String {
    let at = i64::try_from(at / 1_000_000).ok().and_then(|s| OffsetDateTime::from_unix_timestamp(s).ok());
    at.and_then(|at| at.format(&Rfc3339).ok()).unwrap_or_default()
}

impl Callback {
    /// The callback for a job's answer.
    pub fn new(job: &Job, call_id: &str, answer: &Answer, now: Micros, expires: Micros) -> Callback {
        let mut data = json!({
            "call": job.webhook_id,
            "class": job.class,
            "function": format!("{:016x}", job.function.0),
        });
        match answer {
            Answer::Served(body) if body.len() <= LONGEST_PAYLOAD => {
                data["outcome"] = "served".into();
                data["payload"] = BASE64_STANDARD.encode(body).into();
            }
            Answer::Served(_) => {
                data["outcome"] = "failed".into();
                data["reason"] = "the answer is too large for a callback".into();
            }
            Answer::Refused { retry_after } => {
                data["outcome"] = "refused".into();
                data["retry_after_ms"] = (retry_after / 1000).into();
            }
            Answer::Failed => data["outcome"] = "failed".into(),
        }
        let body = json!({ "type": "call.completed", "timestamp": timestamp(now), "data": data });
        Callback {
            tenant: job.tenant.clone(),
            serial: job.serial,
            id: format!("msg_{call_id}"),
            expires,
            effect: job.effect,
            body: body.to_string().into_bytes().into(),
            tries: 0,
            sent: now,
            ran: None,
        }
    }

    /// The bytes of an attempt, signed for this moment; none without a portal or a secret.
    pub fn attempt(&mut self, tenant: &Tenant, now: Micros) -> Option<Vec<u8>> {
        let portal = tenant.portal.as_ref()?;
        tenant.secrets(now).next()?;
        (self.tries, self.sent) = (self.tries + 1, now);
        let stamp = now / 1_000_000;
        let signed = signature::sign(tenant.secrets(now), &self.id, stamp, &self.body);
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nwebhook-id: {}\r\n\
             webhook-timestamp: {stamp}\r\nwebhook-signature: {signed}\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            portal.path,
            portal.address,
            self.id,
            self.body.len()
        );
        let mut out = head.into_bytes();
        out.extend(self.body.iter());
        Some(out)
    }

    /// What follows from an attempt's end. Guards the rule on double effects on this side too: a callback of
    /// a class that must not run twice is not sent again once any byte of it may have arrived.
    pub fn ended(&mut self, now: Micros, ending: Ending, left: Left) -> Next {
        if ending == Ending::Served {
            return Next::Delivered;
        }
        if !never_ran(ending.outcome(left)) {
            self.ran.get_or_insert(self.sent);
        }
        let doublings = self.tries.saturating_sub(1).min(8);
        let again = now + (FIRST_PAUSE << doublings).min(LAST_PAUSE);
        if again < self.expires && allowed(self.effect, self.ran, now, 0).resend {
            return Next::Again(again);
        }
        if self.ran.is_some() {
            Next::Unknown
        } else {
            Next::Undelivered
        }
    }

    /// Given up without a further attempt.
    pub fn given_up(&self) -> Next {
        if self.ran.is_some() {
            Next::Unknown
        } else {
            Next::Undelivered
        }
    }
}

/// Reads a portal's answer: how the attempt ended, or `None` while its head is not whole.
pub fn portal_answer(bytes: &[u8]) -> Option<Ending> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => match head.code {
            Some(100..=199) => portal_answer(&bytes[size..]),
            Some(200..=299) => Some(Ending::Served),
            // Whatever it says, the portal has seen it.
            _ => Some(Ending::Failed),
        },
        Ok(httparse::Status::Partial) if bytes.len() < 16 * 1024 => None,
        _ => Some(Ending::Malformed),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::FunctionId;

    fn callback(effect: Effect) -> Callback {
        let job = Job {
            tenant: "t".into(),
            serial: 1,
            webhook_id: "m".into(),
            class: "c".into(),
            effect,
            function: FunctionId(7),
        };
        Callback::new(&job, "id", &Answer::Failed, 0, 60_000_000)
    }

    #[test]
    fn a_callback_that_may_have_arrived_follows_its_class() {
        for ending in [Ending::Reset, Ending::Closed, Ending::TimedOut, Ending::Failed, Ending::Malformed] {
            let mut c = callback(Effect::Unsafe);
            assert_eq!(c.ended(1, ending, Left::Some), Next::Unknown, "{ending:?}");
            let mut c = callback(Effect::Safe);
            assert!(matches!(c.ended(1, ending, Left::Some), Next::Again(_)), "{ending:?}");
        }
        let mut c = callback(Effect::Unsafe);
        assert!(matches!(c.ended(1, Ending::Refused, Left::Nothing), Next::Again(_)));
        assert!(matches!(c.ended(1, Ending::Reset, Left::Nothing), Next::Again(_)));
        assert_eq!(c.ended(60_000_000, Ending::NeverUp, Left::Nothing), Next::Undelivered);
        assert_eq!(c.ended(2, Ending::Served, Left::Some), Next::Delivered);
    }

    #[test]
    fn times_are_written_as_the_calendar_has_them() {
        assert_eq!(timestamp(0), "1970-01-01T00:00:00Z");
        assert_eq!(timestamp(951_827_696_000_000), "2000-02-29T12:34:56Z");
        assert_eq!(timestamp(1_796_135_851_999_999), "2026-12-01T14:37:31Z");
    }

    #[test]
    fn a_portals_answer_is_read_by_its_status() {
        assert_eq!(portal_answer(b"HTTP/1.1 204 No Content\r\n"), None);
        assert_eq!(
            portal_answer(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"),
            Some(Ending::Served)
        );
        assert_eq!(portal_answer(b"HTTP/1.1 503 Busy\r\n\r\n"), Some(Ending::Failed));
        assert_eq!(portal_answer(b"SSH-2.0-x\r\n"), Some(Ending::Malformed));
    }
}
