// Means over all upstreams of one service, as this VM knows them. Times are in
// milliseconds and at a reported slowness of 1.
#pragma once

namespace hornbeamspool::policy {

class ServiceRates {
 public:
  double PrefillMsPerToken() const { return this->prefill.ms; }
  double EventMs() const { return this->event.ms; }      // 0: not known
  double RequestMs() const { return this->request.ms; }  // 0: not known
  double MeanRunning() const { return this->running; }

  void OnPrefill(double ms_per_token) { this->prefill.Add(ms_per_token); }
  void OnEvent(double ms) { this->event.Add(ms); }
  void OnRequest(double ms) { this->request.Add(ms); }
  // Peers' estimates set a mean that is not known and correct one slowly.
  void OnPeerPrefill(double ms) { this->prefill.AddReported(ms); }
  void OnPeerEvent(double ms) { this->event.AddReported(ms); }
  void OnPeerRequest(double ms) { this->request.AddReported(ms); }
  void OnRunning(double requests);

 private:
  struct Mean {
    double ms = 0;  // 0: not known
    bool only_reported = false;

    void Add(double value);
    void AddReported(double value);
  };

  // Until answers have been observed: large engines prefill about 100 tokens in
  // a millisecond.
  Mean prefill{0.01};
  Mean event;
  Mean request;
  double running = 0;  // requests at one upstream
};

}  // namespace hornbeamspool::policy
