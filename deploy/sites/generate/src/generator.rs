//! Random values for the parts of a deployment. Keys are those of the site files.

use crate::error::MissingTable;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use toml::{Table, Value};

/// Range of the number of classes.
const CLASS_COUNT: std::ops::RangeInclusive<usize> = 1..=6;
/// Maximum number of tenants; some deployments have none.
const MAX_TENANTS: usize = 14;
/// Bounds of a class's deadline.
const DEADLINE_BOUNDS_MS: (f64, f64) = (400.0, 12_000.0);
/// Bounds of a class's latency objective, as a fraction of its deadline.
const OBJECTIVE_FRACTION_BOUNDS: (f64, f64) = (0.3, 0.95);
/// Bounds of a class's mean work per request, as a fraction of its latency objective.
const WORK_FRACTION_BOUNDS: (f64, f64) = (0.06, 0.35);
/// Absolute bounds of a class's mean work per request; they take precedence over the fraction.
const WORK_BOUNDS_MS: (f64, f64) = (12.0, 250.0);

fn table_in<'a>(site: &'a mut Table, name: &'static str) -> Result<&'a mut Table, MissingTable> {
    site.get_mut(name)
        .and_then(Value::as_table_mut)
        .ok_or(MissingTable(name))
}

/// The tables in the array `name` of `parent`. `path` is the array's path in the site file, for
/// errors.
fn tables_in<'a>(
    parent: &'a mut Table,
    name: &str,
    path: &'static str,
) -> Result<impl Iterator<Item = &'a mut Table>, MissingTable> {
    let array = parent.get_mut(name).and_then(Value::as_array_mut);
    let array = array.ok_or(MissingTable(path))?;
    Ok(array.iter_mut().filter_map(Value::as_table_mut))
}

/// Rounds to a number of decimal places, because people read the files.
fn round_to(value: f64, decimals: i32) -> f64 {
    let scale = 10_f64.powi(decimals);
    (value * scale).round() / scale
}

fn range_value(low: f64, high: f64) -> Value {
    Value::Array(vec![low.into(), high.into()])
}

/// Generates the parts of a deployment. Their order is fixed, because the values that a seed gives
/// depend on it.
pub(crate) struct Generator {
    random: Pcg64Mcg,
}

impl Generator {
    /// Creates a generator that uses these random numbers.
    pub(crate) fn new(random: Pcg64Mcg) -> Generator {
        Generator { random }
    }

    /// Replaces the randomized parts of a site by new values.
    pub(crate) fn randomize(&mut self, site: &mut Table) -> Result<(), MissingTable> {
        self.randomize_network(site)?;
        self.randomize_clients(site)?;
        self.randomize_discovery(site)?;
        self.randomize_limits(site)?;
        self.randomize_rules(site)?;
        self.randomize_endpoints(site)?;
        site.insert("class".into(), self.classes());
        site.remove("tenant");
        site.extend(self.tenants().map(|tenants| ("tenant".to_owned(), tenants)));
        Ok(())
    }

    fn uniform(&mut self, (low, high): (f64, f64)) -> f64 {
        self.random.gen_range(low..=high)
    }

    /// A random number whose logarithm is uniformly distributed, so that each factor of 2 between
    /// the bounds is equally likely.
    fn log_uniform(&mut self, (low, high): (f64, f64)) -> f64 {
        self.uniform((low.ln(), high.ln())).exp()
    }

    fn log_uniform_integer(&mut self, bounds: (f64, f64)) -> i64 {
        self.log_uniform(bounds).round() as i64
    }

    fn randomize_network(&mut self, site: &mut Table) -> Result<(), MissingTable> {
        let zones = self.random.gen_range(1..=4);
        let names = (1..=zones)
            .map(|zone| Value::from(format!("zone-{zone}")))
            .collect();
        table_in(site, "net")?.insert("zones".into(), Value::Array(names));
        Ok(())
    }

    fn randomize_clients(&mut self, site: &mut Table) -> Result<(), MissingTable> {
        let max_impatient = round_to(self.uniform((0.0, 0.3)), 2);
        let min_timeout_fraction = round_to(self.uniform((0.3, 0.9)), 2);
        let retries = self.random.gen_range(0..=3);
        let backoffs = [
            &["none"][..],
            &["none", "fixed"],
            &["none", "fixed", "exp"],
            &["exp"],
        ];
        let backoff = backoffs[self.random.gen_range(0..backoffs.len())];
        let marks_retry = self.random.gen();
        let clients = table_in(site, "clients")?;
        clients.insert("impatient".into(), range_value(0.0, max_impatient));
        clients.insert("try_share".into(), range_value(min_timeout_fraction, 1.0));
        clients.insert(
            "retries".into(),
            range_value(retries.into(), f64::from(retries) + 0.99),
        );
        clients.insert(
            "backoff".into(),
            Value::Array(backoff.iter().map(|&name| name.into()).collect()),
        );
        clients.insert("marks_retry".into(), Value::Boolean(marks_retry));
        Ok(())
    }

    fn randomize_discovery(&mut self, site: &mut Table) -> Result<(), MissingTable> {
        let mode = if self.random.gen_bool(0.7) {
            "push"
        } else {
            "ask"
        };
        table_in(site, "discovery")?.insert("mode".into(), mode.into());
        Ok(())
    }

    fn randomize_limits(&mut self, site: &mut Table) -> Result<(), MissingTable> {
        let attempts = self.random.gen_range(1..=4);
        let flags = ["cancel", "second_copies", "retry_after"]
            .map(|name| (name, self.random.gen::<bool>()));
        let limits = table_in(site, "allow")?;
        limits.insert("max_attempts".into(), Value::Integer(attempts));
        limits.extend(flags.map(|(name, flag)| (name.to_owned(), Value::Boolean(flag))));
        Ok(())
    }

    fn randomize_rules(&mut self, site: &mut Table) -> Result<(), MissingTable> {
        let drain_grace_ms = self.log_uniform_integer((200.0, 3_000.0));
        let overload_multiple = round_to(self.uniform((2.5, 4.0)), 1);
        let overload_ms = self.log_uniform_integer((1_000.0, 3_000.0));
        let rules = table_in(site, "rules")?;
        rules.insert("drain_grace_ms".into(), drain_grace_ms.into());
        rules.insert("fall_multiple".into(), overload_multiple.into());
        rules.insert("fall_ms".into(), overload_ms.into());
        Ok(())
    }

    fn randomize_endpoints(&mut self, site: &mut Table) -> Result<(), MissingTable> {
        for tier in tables_in(site, "tier", "tier")? {
            let connections = table_in(tier, "conn").map_err(|_| MissingTable("tier.conn"))?;
            let handshake_us = self.log_uniform_integer((1_000.0, 9_000.0)) as f64;
            connections.insert(
                "handshake_us".into(),
                range_value(handshake_us, 1.6 * handshake_us),
            );
            connections.insert(
                "idle_s".into(),
                self.log_uniform_integer((3.0, 120.0)).into(),
            );
            let connect_timeout_ms = self.log_uniform_integer((100.0, 1_000.0));
            connections.insert("connect_timeout_ms".into(), connect_timeout_ms.into());
            let long_slow_start = self.random.gen_bool(0.5);
            for kind in tables_in(tier, "kind", "tier.kind")? {
                if long_slow_start {
                    self.set_long_slow_start(kind);
                }
            }
        }
        Ok(())
    }

    /// Gives endpoints a slow start with a lower initial capacity and a longer duration than most
    /// have.
    fn set_long_slow_start(&mut self, kind: &mut Table) {
        let initial_capacity = round_to(self.uniform((0.1, 0.2)), 2);
        let duration_s = round_to(self.uniform((12.0, 24.0)), 0);
        kind.insert(
            "cold_from".into(),
            range_value(initial_capacity, 2.0 * initial_capacity),
        );
        kind.insert("cold_s".into(), range_value(duration_s / 2.0, duration_s));
    }

    fn classes(&mut self) -> Value {
        let count = self.random.gen_range(CLASS_COUNT);
        Value::Array(
            (1..=count)
                .map(|number| Value::Table(self.class(number)))
                .collect(),
        )
    }

    fn class(&mut self, number: usize) -> Table {
        let deadline_ms = self.log_uniform(DEADLINE_BOUNDS_MS);
        let objective_ms = deadline_ms * self.uniform(OBJECTIVE_FRACTION_BOUNDS);
        let work_ms = (objective_ms * self.uniform(WORK_FRACTION_BOUNDS))
            .clamp(WORK_BOUNDS_MS.0, WORK_BOUNDS_MS.1);
        let share = round_to(self.log_uniform((0.08, 0.8)), 2);
        let mut class = Table::new();
        let mut set = |name: &str, value: Value| class.insert(name.into(), value);
        set("name", format!("class-{number}").into());
        set("share", range_value(share, round_to(1.3 * share, 2)));
        set(
            "work_ms",
            range_value(round_to(0.8 * work_ms, 0), round_to(1.2 * work_ms, 0)),
        );
        set("dist", "lognormal".into());
        set("cv", range_value(0.3, 0.7));
        set("attempt_noise", range_value(0.1, 0.5));
        set("aim_ms", Value::Integer(objective_ms.round() as i64));
        set("deadline_ms", Value::Integer(deadline_ms.round() as i64));
        set("worth", Value::Integer(self.random.gen_range(1..=9)));
        let late_weight = if self.random.gen_bool(0.2) { 0.5 } else { 0.0 };
        set("late_worth", late_weight.into());
        class.extend(self.idempotency());
        class
    }

    fn idempotency(&mut self) -> Table {
        let mut idempotency = Table::new();
        let mut set = |name: &str, value: Value| idempotency.insert(name.into(), value);
        match self.random.gen_range(0..4) {
            0 | 1 => {
                set("effect", "safe".into());
            }
            2 => {
                let scopes = ["all", "zone", "cell"];
                set("effect", "keyed".into());
                set(
                    "group",
                    scopes[self.random.gen_range(0..scopes.len())].into(),
                );
                set(
                    "window_ms",
                    self.log_uniform_integer((300.0, 20_000.0)).into(),
                );
            }
            _ => {
                set("effect", "unsafe".into());
            }
        }
        idempotency
    }

    /// The tenants. Quotas decrease with the tenant's number and add up to 1, except for rounding.
    /// `None`: the deployment has no tenants.
    fn tenants(&mut self) -> Option<Value> {
        let count = self.random.gen_range(0..=MAX_TENANTS);
        let sum: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
        let tenant = |rank: usize| {
            let mut tenant = Table::new();
            tenant.insert("name".into(), format!("tenant-{rank}").into());
            tenant.insert("share".into(), round_to(1.0 / rank as f64 / sum, 4).into());
            tenant.insert("usage".into(), range_value(0.5, 1.4));
            Value::Table(tenant)
        };
        (count > 0).then(|| Value::Array((1..=count).map(tenant).collect()))
    }
}
