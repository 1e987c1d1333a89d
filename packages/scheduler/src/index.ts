/** The scheduler role of one failure domain: passes, gang start, takeover and preemption. */
export {};
