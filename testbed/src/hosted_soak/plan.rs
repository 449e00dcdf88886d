//! A model of the configurations that the operator of the soak sends: how each of them
//! handles a request.

use std::fmt::Write;

/// The services of all configurations.
pub const MODEL_SERVICE: &str = "model";
pub const PAGE_SERVICE: &str = "pages";
/// The host of all routes.
pub const HOST: &str = "soak.example";
/// Milliseconds for which an edge keeps an idle connection of a client.
pub const IDLE_MS: u64 = 3000;
/// The request timeout of every route, in milliseconds, before any change.
const TIMEOUT_MS: u64 = 5000;

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    Once,
    /// A stream that may be resumed.
    Stream,
}

impl RouteKind {
    fn wire_name(self) -> &'static str {
        match self {
            RouteKind::Idempotent => "idem",
            RouteKind::Once => "nonidem",
            RouteKind::Stream => "stream",
        }
    }
}

/// One route; its prefix is `/NAME/`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRoute {
    pub name: String,
    pub kind: RouteKind,
    pub service: &'static str,
    pub public: bool,
    pub timeout_ms: u64,
    /// The most workers that a request may be sent to.
    pub max_attempts: u32,
}

/// One tenant with its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedTenant {
    pub name: String,
    pub keys: Vec<String>,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub version: u64,
    pub routes: Vec<PlannedRoute>,
    pub tenants: Vec<PlannedTenant>,
}

/// How a request may be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Handling {
    /// 404: no route matches.
    NoRoute,
    /// 401: the route needs a key that a tenant holds.
    NoKey,
    /// A worker of the service runs it, in the name of the tenant if there is one.
    Runs {
        service: String,
        tenant: Option<String>,
    },
}

fn route(name: &str, kind: RouteKind, service: &'static str) -> PlannedRoute {
    PlannedRoute {
        name: name.into(),
        kind,
        service,
        public: false,
        timeout_ms: TIMEOUT_MS,
        max_attempts: 2,
    }
}

/// An API key that contains the name of its tenant.
pub fn key(tenant: &str, number: u64) -> String {
    format!("secret-{tenant}-{number}-yq7")
}

impl Plan {
    /// The first configuration: four routes, one of them public, and six tenants.
    pub fn first() -> Plan {
        let mut open = route("open", RouteKind::Idempotent, PAGE_SERVICE);
        open.public = true;
        let tenants = (0..6).map(|n| {
            let name = format!("tenant{n}");
            let keys = vec![key(&name, 0), key(&name, 1)];
            PlannedTenant { name, keys }
        });
        Plan {
            version: 4,
            routes: vec![
                route("page", RouteKind::Idempotent, PAGE_SERVICE),
                route("tag", RouteKind::Once, MODEL_SERVICE),
                route("ask", RouteKind::Stream, MODEL_SERVICE),
                open,
            ],
            tenants: tenants.collect(),
        }
    }

    /// The route that a change with this number adds.
    pub fn added_route(number: u64) -> PlannedRoute {
        route(
            &format!("added{number}"),
            RouteKind::Idempotent,
            PAGE_SERVICE,
        )
    }

    /// The route of a path.
    pub fn route_of(&self, path: &str) -> Option<&PlannedRoute> {
        let name = path.strip_prefix('/')?.split('/').next()?;
        self.routes.iter().find(|route| route.name == name)
    }

    /// The tenant that holds a key.
    pub fn holder_of(&self, key: &str) -> Option<&str> {
        let holds = |tenant: &&PlannedTenant| tenant.keys.iter().any(|k| k == key);
        self.tenants
            .iter()
            .find(holds)
            .map(|tenant| tenant.name.as_str())
    }

    /// How this configuration handles a request.
    pub fn handling(&self, path: &str, key: Option<&str>) -> Handling {
        let Some(route) = self.route_of(path) else {
            return Handling::NoRoute;
        };
        let tenant = key.and_then(|key| self.holder_of(key));
        if tenant.is_none() && !route.public {
            return Handling::NoKey;
        }
        Handling::Runs {
            service: route.service.into(),
            tenant: tenant.map(str::to_string),
        }
    }

    /// The complete configuration in the JSON format of the platform.
    pub fn body(&self) -> String {
        let routes: Vec<String> = self.routes.iter().map(route_json).collect();
        let tenants: Vec<String> = self.tenants.iter().map(tenant_json).collect();
        let services = [MODEL_SERVICE, PAGE_SERVICE].map(|name| {
            format!(r#"{{"name":"{name}","hcPath":"/healthz","maxconn":400,"proto":"h1","tls":false,"warmupS":0.0,"warmupPerS":0.0}}"#)
        });
        format!(
            r#"{{"ver":{},"routes":[{}],"svcs":[{}],"tenants":[{}],"lim":{{"hdrBytes":16384,"bodyBytes":4194304,"hdrMs":3000,"idleMs":{IDLE_MS}}}}}"#,
            self.version,
            routes.join(","),
            services.join(","),
            tenants.join(",")
        )
    }

    /// The change from `base` to this configuration, as upserts and deletions.
    pub fn edit_body(&self, base: &Plan) -> String {
        let routes: Vec<String> = self
            .routes
            .iter()
            .filter(|route| !base.routes.contains(route))
            .map(route_json)
            .collect();
        let tenants: Vec<String> = self
            .tenants
            .iter()
            .filter(|tenant| !base.tenants.contains(tenant))
            .map(tenant_json)
            .collect();
        let deleted_routes = base
            .routes
            .iter()
            .map(|route| &route.name)
            .filter(|name| self.routes.iter().all(|route| route.name != **name));
        let deleted_tenants = base
            .tenants
            .iter()
            .map(|tenant| &tenant.name)
            .filter(|name| self.tenants.iter().all(|tenant| tenant.name != **name));
        format!(
            r#"{{"ver":{},"upsert":{{"routes":[{}],"tenants":[{}]}},"del":{{"routes":{:?},"tenants":{:?}}}}}"#,
            self.version,
            routes.join(","),
            tenants.join(","),
            deleted_routes.collect::<Vec<_>>(),
            deleted_tenants.collect::<Vec<_>>()
        )
    }
}

fn route_json(route: &PlannedRoute) -> String {
    let mut text = String::new();
    let _ = write!(
        text,
        r#"{{"name":"{name}","host":"{HOST}","pfx":"/{name}/","type":"{kind}","tmoMs":{timeout},"sloMs":800,"prio":1,"svc":"{service}","tries":{tries},"public":{public},"resume":{resume},"gapSloMs":600,"homes":[]}}"#,
        name = route.name,
        kind = route.kind.wire_name(),
        timeout = route.timeout_ms,
        service = route.service,
        tries = route.max_attempts,
        public = route.public,
        resume = route.kind == RouteKind::Stream,
    );
    text
}

fn tenant_json(tenant: &PlannedTenant) -> String {
    format!(
        r#"{{"name":"{}","apikeys":{:?},"prio":1,"ratePerS":0,"burst":0,"homes":[]}}"#,
        tenant.name, tenant.keys
    )
}
