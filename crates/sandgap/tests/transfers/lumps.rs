//! Answers that their backends write in lumps.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::sockets::answers::*;
use crate::sockets::random::Random;
use crate::sockets::*;

/// Size in bytes up to which an answer has to be complete in the client's time.
const SHORT: usize = 64 << 10;
/// The head of a long answer, and the end of a short one, come this many seconds before the client's time.
const SPARE_TIME: (f64, f64) = (0.2, 0.3);
/// Longest time of an answer in seconds, so that a play ends.
const LONGEST: f64 = 9.0;

/// What answers are drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Ranges {
    /// Framings.
    pub forms: &'static [Form],
    /// Size of an answer.
    pub bytes: (f64, f64),
    /// Size of a lump.
    pub lump: (f64, f64),
    /// Seconds between two lumps.
    pub gap: (f64, f64),
    /// Seconds that the client waits.
    pub patience: (f64, f64),
}

/// How a request is answered, and how long its client waits.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub class: &'static str,
    pub form: Form,
    pub bytes: usize,
    pub lump: usize,
    /// Seconds between two lumps.
    pub gap: f64,
    /// Seconds before the head.
    pub work: f64,
    /// Seconds that the client waits.
    pub patience: f64,
}

impl Plan {
    /// Draws an answer that is sound: each backend alone gives it in time.
    pub fn draw(random: &mut Random, ranges: &Ranges) -> Self {
        loop {
            let plan = Plan {
                class: random.pick(&["page", "booking", "submit"]),
                form: random.pick(ranges.forms),
                bytes: random.between(ranges.bytes.0, ranges.bytes.1) as usize,
                lump: random.between(ranges.lump.0, ranges.lump.1) as usize,
                gap: random.between(ranges.gap.0, ranges.gap.1),
                work: random.pick(&[0.0, 0.02, 0.1]),
                patience: random.between(ranges.patience.0, ranges.patience.1),
            };
            let takes = plan.work + plan.gap * (plan.bytes.div_ceil(plan.lump) - 1) as f64;
            let is_sound = match plan.bytes > SHORT {
                true => plan.work + SPARE_TIME.0 <= plan.patience,
                false => takes + SPARE_TIME.1 <= plan.patience,
            };
            if is_sound && takes <= LONGEST {
                return plan;
            }
        }
    }

    pub fn request(&self, id: &str) -> String {
        let timeout = format!("{:.3}", self.patience);
        match self.class {
            "page" => page(id).replace("X-Timeout: 5", &format!("X-Timeout: {timeout}")),
            "booking" => booking(id, &timeout),
            _ => submit(id, &timeout, "x"),
        }
    }

    /// Writes the answer; returns the bytes of the body that were written before the connection ended.
    pub fn answer(&self, stream: &mut TcpStream) -> usize {
        thread::sleep(Duration::from_secs_f64(self.work));
        let mut written = 0;
        let mut is_open = stream.write_all(self.form.head(self.bytes).as_bytes()).is_ok();
        while is_open && written < self.bytes {
            if written > 0 {
                thread::sleep(Duration::from_secs_f64(self.gap));
            }
            let lump = self.lump.min(self.bytes - written);
            is_open = stream.write_all(&self.form.part(lump)).is_ok();
            written += if is_open { lump } else { 0 };
        }
        if is_open {
            self.form.end(stream);
        }
        written
    }

    /// What is wrong with an answer, if it is not the whole one in time.
    pub fn fault(&self, answer: &Received) -> Option<String> {
        let timed = if self.bytes > SHORT { answer.first_after } else { Some(answer.last_after) };
        let is_in_time = timed.is_some_and(|at| at.as_secs_f64() <= self.patience);
        let is_whole = answer.looks_whole() && answer.body == self.bytes;
        (!is_whole || !is_in_time).then(|| format!("{answer:?}: {self:?}"))
    }
}
