/** Stands in for DTrace, which the platform's instances do not have; restify asks for it when it is loaded. */
class DTraceProviderStub {
  addProbe() {
    return {fire() {}};
  }
  enable() {}
  fire() {}
}

module.exports = {
  DTraceProvider: DTraceProviderStub,
  createDTraceProvider: () => new DTraceProviderStub(),
};
