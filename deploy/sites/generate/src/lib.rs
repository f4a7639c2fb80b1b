//! Draws deployments of nobody from existing site files, so that a program is not fitted to the few deployments that its
//! maintainers know. The same bases and seed give the same file, byte for byte.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;
use toml::{Table, Value};

/// Why no deployment could be drawn.
#[derive(Debug)]
pub enum DrawError {
    /// There is no file to draw from.
    NoBase,
    /// A base is not TOML.
    Syntax(toml::de::Error),
    /// A base lacks a table that every site file has.
    Missing(&'static str),
    /// The drawn deployment cannot be written as TOML.
    Output(toml::ser::Error),
}

impl fmt::Display for DrawError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DrawError::NoBase => write!(formatter, "no site file to draw from"),
            DrawError::Syntax(error) => write!(formatter, "not a site file: {error}"),
            DrawError::Missing(name) => write!(formatter, "not a site file: there is no table '{name}'"),
            DrawError::Output(error) => write!(formatter, "the drawn site cannot be written: {error}"),
        }
    }
}

impl std::error::Error for DrawError {}

/// Fewest and most classes of a drawn deployment.
const CLASSES: std::ops::RangeInclusive<usize> = 1..=6;
/// Most tenants; some deployments have none.
const TENANTS_MOST: usize = 14;
/// Deadlines, in milliseconds.
const DEADLINE_MS: (f64, f64) = (400.0, 12_000.0);
/// Aim, as a share of the deadline.
const AIM_SHARE: (f64, f64) = (0.3, 0.95);
/// Mean work, as a share of the aim, and its bounds in milliseconds.
const WORK_SHARE: (f64, f64) = (0.06, 0.35);
const WORK_MS: (f64, f64) = (12.0, 250.0);

/// A deployment drawn with `seed`, and the number of the base in `bases` whose fleet it took over.
pub fn draw(bases: &[String], seed: u64) -> Result<(usize, String), DrawError> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let base = (0..bases.len()).collect::<Vec<_>>().choose(&mut random).copied().ok_or(DrawError::NoBase)?;
    let mut site: Table = bases[base].parse().map_err(DrawError::Syntax)?;
    let mut draw = Draw { random };
    site.insert("name".into(), format!("generated-{seed}").into());
    draw.network(&mut site)?;
    draw.clients(&mut site)?;
    draw.discovery(&mut site)?;
    draw.allowances(&mut site)?;
    draw.rules(&mut site)?;
    draw.servers(&mut site)?;
    site.insert("class".into(), draw.classes());
    site.remove("tenant");
    site.extend(draw.tenants().map(|tenants| ("tenant".to_owned(), tenants)));
    Ok((base, toml::to_string(&site).map_err(DrawError::Output)?))
}

fn table<'a>(site: &'a mut Table, name: &'static str) -> Result<&'a mut Table, DrawError> {
    site.get_mut(name).and_then(Value::as_table_mut).ok_or(DrawError::Missing(name))
}

/// To so many decimals: the files are read by people.
fn rounded(value: f64, decimals: i32) -> f64 {
    let scale = 10_f64.powi(decimals);
    (value * scale).round() / scale
}

fn range(low: f64, high: f64) -> Value {
    Value::Array(vec![low.into(), high.into()])
}

struct Draw {
    random: Pcg64Mcg,
}

impl Draw {
    fn between(&mut self, (low, high): (f64, f64)) -> f64 {
        self.random.gen_range(low..=high)
    }

    /// As likely in each octave: spans differ by factors.
    fn log_between(&mut self, (low, high): (f64, f64)) -> f64 {
        self.between((low.ln(), high.ln())).exp()
    }

    fn millis(&mut self, bounds: (f64, f64)) -> i64 {
        self.log_between(bounds).round() as i64
    }

    fn network(&mut self, site: &mut Table) -> Result<(), DrawError> {
        let zones = self.random.gen_range(1..=4);
        let names = (1..=zones).map(|zone| Value::from(format!("zone-{zone}"))).collect();
        table(site, "net")?.insert("zones".into(), Value::Array(names));
        Ok(())
    }

    fn clients(&mut self, site: &mut Table) -> Result<(), DrawError> {
        let impatient = rounded(self.between((0.0, 0.3)), 2);
        let least = rounded(self.between((0.3, 0.9)), 2);
        let retries = self.random.gen_range(0..=3);
        let kinds = [&["none"][..], &["none", "fixed"], &["none", "fixed", "exp"], &["exp"]];
        let backoff = kinds[self.random.gen_range(0..kinds.len())];
        let marks = self.random.gen();
        let clients = table(site, "clients")?;
        clients.insert("impatient".into(), range(0.0, impatient));
        clients.insert("try_share".into(), range(least, 1.0));
        clients.insert("retries".into(), range(retries.into(), f64::from(retries) + 0.99));
        clients.insert("backoff".into(), Value::Array(backoff.iter().map(|&name| name.into()).collect()));
        clients.insert("marks_retry".into(), Value::Boolean(marks));
        Ok(())
    }

    fn discovery(&mut self, site: &mut Table) -> Result<(), DrawError> {
        let mode = if self.random.gen_bool(0.7) { "push" } else { "ask" };
        table(site, "discovery")?.insert("mode".into(), mode.into());
        Ok(())
    }

    fn allowances(&mut self, site: &mut Table) -> Result<(), DrawError> {
        let attempts = self.random.gen_range(1..=4);
        let flags = ["cancel", "second_copies", "retry_after"].map(|name| (name, self.random.gen::<bool>()));
        let allow = table(site, "allow")?;
        allow.insert("max_attempts".into(), Value::Integer(attempts));
        allow.extend(flags.map(|(name, flag)| (name.to_owned(), Value::Boolean(flag))));
        Ok(())
    }

    fn rules(&mut self, site: &mut Table) -> Result<(), DrawError> {
        let grace = self.millis((200.0, 3_000.0));
        let (multiple, after) = (rounded(self.between((2.5, 4.0)), 1), self.millis((1_000.0, 3_000.0)));
        let rules = table(site, "rules")?;
        rules.insert("drain_grace_ms".into(), grace.into());
        rules.insert("fall_multiple".into(), multiple.into());
        rules.insert("fall_ms".into(), after.into());
        Ok(())
    }

    fn servers(&mut self, site: &mut Table) -> Result<(), DrawError> {
        let tiers = site.get_mut("tier").and_then(Value::as_array_mut).ok_or(DrawError::Missing("tier"))?;
        for tier in tiers.iter_mut().filter_map(Value::as_table_mut) {
            let connections = table(tier, "conn")?;
            let cost = self.millis((1_000.0, 9_000.0));
            connections.insert("handshake_us".into(), range(cost as f64, 1.6 * cost as f64));
            connections.insert("idle_s".into(), self.millis((3.0, 120.0)).into());
            connections.insert("connect_timeout_ms".into(), self.millis((100.0, 1_000.0)).into());
            let colder = self.random.gen_bool(0.5);
            let kinds =
                tier.get_mut("kind").and_then(Value::as_array_mut).ok_or(DrawError::Missing("tier.kind"))?;
            for kind in kinds.iter_mut().filter_map(Value::as_table_mut).filter(|_| colder) {
                let (from, time) =
                    (rounded(self.between((0.1, 0.2)), 2), rounded(self.between((12.0, 24.0)), 0));
                kind.insert("cold_from".into(), range(from, 2.0 * from));
                kind.insert("cold_s".into(), range(time / 2.0, time));
            }
        }
        Ok(())
    }

    fn classes(&mut self) -> Value {
        let count = self.random.gen_range(CLASSES);
        Value::Array((1..=count).map(|number| Value::Table(self.class(number))).collect())
    }

    fn class(&mut self, number: usize) -> Table {
        let deadline = self.log_between(DEADLINE_MS);
        let aim = deadline * self.between(AIM_SHARE);
        let work = (aim * self.between(WORK_SHARE)).clamp(WORK_MS.0, WORK_MS.1);
        let share = rounded(self.log_between((0.08, 0.8)), 2);
        let mut class = Table::new();
        let mut set = |name: &str, value: Value| class.insert(name.into(), value);
        set("name", format!("class-{number}").into());
        set("share", range(share, rounded(1.3 * share, 2)));
        set("work_ms", range(rounded(0.8 * work, 0), rounded(1.2 * work, 0)));
        set("dist", "lognormal".into());
        set("cv", range(0.3, 0.7));
        set("attempt_noise", range(0.1, 0.5));
        set("aim_ms", Value::Integer(aim.round() as i64));
        set("deadline_ms", Value::Integer(deadline.round() as i64));
        set("worth", Value::Integer(self.random.gen_range(1..=9)));
        let late = if self.random.gen_bool(0.2) { 0.5 } else { 0.0 };
        set("late_worth", late.into());
        match self.random.gen_range(0..4) {
            0 | 1 => {
                set("effect", "safe".into());
            }
            2 => {
                let groups = ["all", "zone", "cell"];
                set("effect", "keyed".into());
                set("group", groups[self.random.gen_range(0..groups.len())].into());
                set("window_ms", self.millis((300.0, 20_000.0)).into());
            }
            _ => {
                set("effect", "unsafe".into());
            }
        }
        class
    }

    /// Shares fall from the first on and sum up to 1.
    fn tenants(&mut self) -> Option<Value> {
        let count = self.random.gen_range(0..=TENANTS_MOST);
        let whole: f64 = (1..=count).map(|place| 1.0 / place as f64).sum();
        let tenant = |place: usize| {
            let mut tenant = Table::new();
            tenant.insert("name".into(), format!("tenant-{place}").into());
            tenant.insert("share".into(), rounded(1.0 / place as f64 / whole, 4).into());
            tenant.insert("usage".into(), range(0.5, 1.4));
            Value::Table(tenant)
        };
        (count > 0).then(|| Value::Array((1..=count).map(tenant).collect()))
    }
}
