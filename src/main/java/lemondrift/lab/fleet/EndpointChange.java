package lemondrift.lab.fleet;

import lemondrift.model.EndpointUpdate;

/**
 * One change of the endpoint list.
 *
 * @param upSinceMillis when the backend started, in Unix time; 0 where it was up from the beginning
 */
record EndpointChange(int backend, EndpointUpdate.State state, long upSinceMillis) {}
