//! Dense indices of services and endpoints, and the containers that they index.

use super::endpoint::Endpoint;
use super::service::ServiceState;

/// Dense index of a service; not reused while the balancer exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServiceIndex(pub u32);

/// Dense index of an endpoint; not reused while the balancer exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndpointIndex(pub u32);

/// All services named by any configuration or registry so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Services(Vec<ServiceState>);

impl Services {
    pub fn push(&mut self, service: ServiceState) -> ServiceIndex {
        self.0.push(service);
        ServiceIndex(self.0.len() as u32 - 1)
    }

    pub fn get(&self, index: ServiceIndex) -> Option<&ServiceState> {
        self.0.get(index.0 as usize)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut ServiceState> {
        self.0.iter_mut()
    }

    pub fn indices(&self) -> impl Iterator<Item = ServiceIndex> {
        (0..self.0.len() as u32).map(ServiceIndex)
    }
}

impl std::ops::Index<ServiceIndex> for Services {
    type Output = ServiceState;

    fn index(&self, index: ServiceIndex) -> &ServiceState {
        &self.0[index.0 as usize]
    }
}

impl std::ops::IndexMut<ServiceIndex> for Services {
    fn index_mut(&mut self, index: ServiceIndex) -> &mut ServiceState {
        &mut self.0[index.0 as usize]
    }
}

/// All endpoints. The entry of a removed endpoint stays, empty.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints(Vec<Option<Box<Endpoint>>>);

impl Endpoints {
    pub fn push(&mut self, endpoint: Endpoint) -> EndpointIndex {
        self.0.push(Some(Box::new(endpoint)));
        EndpointIndex(self.0.len() as u32 - 1)
    }

    /// Number of entries, empty ones included.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn get(&self, index: EndpointIndex) -> Option<&Endpoint> {
        self.0[index.0 as usize].as_deref()
    }

    pub fn get_mut(&mut self, index: EndpointIndex) -> Option<&mut Endpoint> {
        self.0[index.0 as usize].as_deref_mut()
    }

    pub fn remove(&mut self, index: EndpointIndex) {
        self.0[index.0 as usize] = None;
    }

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.0.iter().filter_map(|entry| entry.as_deref())
    }

    pub fn indices(&self) -> impl Iterator<Item = EndpointIndex> {
        (0..self.0.len() as u32).map(EndpointIndex)
    }
}
