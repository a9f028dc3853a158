package lemondrift.lab.fleet;

import lemondrift.model.EndpointUpdate;

/**
 * One change of the endpoint list.
 *
 * @param upSinceMillis when the backend started, in milliseconds of Unix time; 0 if it has been up
 *     since the beginning
 */
record EndpointChange(int backend, EndpointUpdate.State state, long upSinceMillis) {}
